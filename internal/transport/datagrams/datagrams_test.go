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

// An entry tells 150 others of its requests. More than one system call moves are sent
// all the same, each once.
func TestMessagesBeyondOneBatchArrive(t *testing.T) {
	c := qt.New(t)
	from, to := listen(t), listen(t)
	addresses := make([]string, 150)
	for i := range addresses {
		addresses[i] = to.Address().String()
	}
	c.Assert(from.Send([]byte("counts"), addresses...), qt.IsNil)
	taken := 0
	for taken < len(addresses) {
		c.Assert(to.Receive(func(data []byte, _ net.Addr) {
			c.Check(string(data), qt.Equals, "counts")
			taken++
		}), qt.IsNil)
	}
	c.Check(taken, qt.Equals, len(addresses))
}

// One of three entries has an address that no message can be sent to. Sent with one
// system call, the others would not hear that this one lives.
func TestUnreachableAddressDoesNotAffectOthers(t *testing.T) {
	c := qt.New(t)
	from, first, last := listen(t), listen(t), listen(t)
	nowhere := "255.255.255.255:9"
	for _, order := range [][]string{
		{nowhere, first.Address().String(), last.Address().String()},
		{first.Address().String(), nowhere, last.Address().String()},
		{first.Address().String(), last.Address().String(), nowhere},
	} {
		c.Assert(from.Send([]byte("alive"), order...), qt.IsNil)
		for _, s := range []*Socket{first, last} {
			var got string
			c.Assert(s.Receive(func(data []byte, _ net.Addr) { got = string(data) }), qt.IsNil)
			c.Check(got, qt.Equals, "alive")
		}
	}
}

// A process waits for messages while its socket is closed, as at its stop.
func TestCloseEndsReceive(t *testing.T) {
	c := qt.New(t)
	s := listen(t)
	time.AfterFunc(10*time.Millisecond, func() { _ = s.Close() })
	c.Assert(s.Receive(func([]byte, net.Addr) {}), qt.IsNotNil)
}

// A message of a quiet region is taken at once, and a busy one's wake the process at most
// once in a pause.
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
	began, wakes, taken := time.Now(), 0, 0
	for taken < 40 {
		c.Assert(to.Receive(func([]byte, net.Addr) { taken++ }), qt.IsNil)
		wakes++
	}
	<-done
	most := int(time.Since(began)/minWakeInterval) + 1
	c.Check(wakes <= most, qt.IsTrue, qt.Commentf("%d wake-ups, at most %d expected", wakes, most))
}

// BenchmarkSend tells what one of a region's entries pays to tell the others: 20 sends
// one by one took 39 us, and in one system call 27 us, on loopback.
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
