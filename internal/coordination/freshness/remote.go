package freshness

import "time"

const (
	// remoteResolution is the resolution of the times that other processes state.
	remoteResolution = time.Millisecond
	// maxDrift is by how much two steady clocks diverge at most, in parts of a million.
	maxDrift = 500
)

// RemoteClock tells when another process gave an answer that states the time of a steady clock of its own.
// The time at which the answer is received proves less: it may have waited in a socket while this process
// was suspended. The zero value knows nothing. It is not safe for concurrent use.
type RemoteClock struct {
	// ahead is the largest possible lead of the other clock over the own one, at some time since observedFrom.
	ahead, observedFrom time.Duration
	known               bool
}

// AnsweredAt returns the earliest time, between sentAt and receivedAt, at which an answer that states the time
// remote can have been given.
func (c *RemoteClock) AnsweredAt(sentAt, receivedAt, remote time.Duration) time.Duration {
	ahead, known := c.aheadAt(receivedAt), c.known
	// The other process read its clock after the call was sent.
	largest := remote + remoteResolution - sentAt
	// A clock that was set forward appears to answer in the future.
	if jumped := known && remote-ahead > receivedAt; !known || jumped || largest < ahead {
		c.ahead, c.observedFrom, c.known, ahead = largest, sentAt, true, largest
	}
	return max(remote-ahead, sentAt)
}

func (c *RemoteClock) aheadAt(now time.Duration) time.Duration {
	return c.ahead + max(now-c.observedFrom, 0)*maxDrift/1e6
}
