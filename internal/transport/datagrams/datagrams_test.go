package datagrams

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func listen(t testing.TB) *Socket {
	s, err := Listen("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// An entry reports its requests to 150 others, more than one system call can send. Each
// message must be sent exactly once.
func TestMessagesBeyondOneBatchArrive(t *testing.T) {
	c := qt.New(t)
	from, to := listen(t), listen(t)
	addresses := make([]string, 150)
	for i := range addresses {
		addresses[i] = to.Address().String()
	}
	c.Assert(from.Send([]byte("counts"), addresses...), qt.IsNil)
	received := 0
	for received < len(addresses) {
		c.Assert(to.Receive(func(data []byte, _ net.Addr) {
			c.Check(string(data), qt.Equals, "counts")
			received++
		}), qt.IsNil)
	}
	c.Check(received, qt.Equals, len(addresses))
}

// One of three entries has an address to which sending fails. The others, which are sent
// to with the same system call, must still get their messages.
func TestUnreachableAddressDoesNotAffectOthers(t *testing.T) {
	c := qt.New(t)
	from, first, last := listen(t), listen(t), listen(t)
	unreachable := "255.255.255.255:9"
	for _, order := range [][]string{
		{unreachable, first.Address().String(), last.Address().String()},
		{first.Address().String(), unreachable, last.Address().String()},
		{first.Address().String(), last.Address().String(), unreachable},
	} {
		c.Assert(from.Send([]byte("alive"), order...), qt.IsNil)
		for _, s := range []*Socket{first, last} {
			var got string
			c.Assert(s.Receive(func(data []byte, _ net.Addr) { got = string(data) }), qt.IsNil)
			c.Check(got, qt.Equals, "alive")
		}
	}
}

// Receive must return when its socket is closed during the wait, as at a process's stop.
func TestCloseEndsReceive(t *testing.T) {
	c := qt.New(t)
	s := listen(t)
	time.AfterFunc(10*time.Millisecond, func() { _ = s.Close() })
	c.Assert(s.Receive(func([]byte, net.Addr) {}), qt.IsNotNil)
}

// Frequent messages must wake the process at most once per minWakeInterval.
func TestWakeUpRateIsBounded(t *testing.T) {
	c := qt.New(t)
	from, to := listen(t), listen(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 40 {
			_ = from.Send([]byte("x"), to.Address().String())
			time.Sleep(500 * time.Microsecond)
		}
	}()
	startedAt, wakes, received := time.Now(), 0, 0
	for received < 40 {
		c.Assert(to.Receive(func([]byte, net.Addr) { received++ }), qt.IsNil)
		wakes++
	}
	<-done
	maxWakes := int(time.Since(startedAt)/minWakeInterval) + 1
	c.Check(wakes <= maxWakes, qt.IsTrue, qt.Commentf("%d wake-ups, at most %d expected", wakes, maxWakes))
}

// BenchmarkSend measures the cost for an entry of sending a message to the others of its
// region. On loopback, 20 individual sends took 39 us and one system call 27 us.
func BenchmarkSend(b *testing.B) {
	from, to := listen(b), listen(b)
	data := make([]byte, 250)
	addresses := make([]string, 20)
	for i := range addresses {
		addresses[i] = to.Address().String()
	}
	b.Run("OneByOne", func(b *testing.B) {
		for b.Loop() {
			for _, address := range addresses {
				_ = from.Send(data, address)
			}
		}
	})
	b.Run("Together", func(b *testing.B) {
		for b.Loop() {
			_ = from.Send(data, addresses...)
		}
	})
}
