// Package guardedconn compares the age of a check right before each write to a connection, so
// that nothing that relies on the check is sent once it has expired.
package guardedconn

import (
	"context"
	"net"

	"github.com/filbertlever/filbertlever/internal/coordination/freshness"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Guard returns a DialFunc whose connections write only while check has not expired. A write
// after that sends nothing and returns a *freshness.ExpiredError.
func Guard(dial DialFunc, check freshness.Check) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c, check: check}, nil
	}
}

type conn struct {
	net.Conn
	check freshness.Check
}

func (c *conn) Write(data []byte) (int, error) {
	if err := c.check.Confirm(boottime.Now()); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}
