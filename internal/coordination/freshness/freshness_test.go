package freshness

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestConfirm(t *testing.T) {
	tests := []struct {
		check   Check
		now     time.Duration
		expired bool
	}{
		{check: Check{BegunAt: time.Second, MaxAge: time.Second}, now: 1999 * time.Millisecond},
		{check: Check{BegunAt: time.Second, MaxAge: time.Second}, now: 2 * time.Second, expired: true},
		{check: Check{}, now: 0, expired: true},
	}
	for _, test := range tests {
		var expired *ExpiredError
		qt.Check(t, errors.As(test.check.Confirm(test.now), &expired), qt.Equals, test.expired, qt.Commentf("%+v", test))
	}
}
