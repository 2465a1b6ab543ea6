package drain

// CloseDetector detects from a server's responses that the server is leaving, which means that
// it shuts down gracefully. Such a server closes the connection after each response. Other
// servers close it occasionally, or always. The zero value is a server that has not responded
// yet.
type CloseDetector struct {
	// keptAlive is true once the server has kept a connection open.
	keptAlive bool
	// consecutive is the number of latest responses in a row that closed their connection.
	consecutive int
}

// minConsecutiveCloses is how many responses in a row must close their connections.
const minConsecutiveCloses = 3

// Observe records whether the next response closed its connection.
func (c *CloseDetector) Observe(closes bool) {
	if !closes {
		c.keptAlive, c.consecutive = true, 0
		return
	}
	c.consecutive = min(c.consecutive+1, minConsecutiveCloses)
}

// Leaving reports whether the server is leaving.
func (c *CloseDetector) Leaving() bool { return c.keptAlive && c.consecutive >= minConsecutiveCloses }

// Undecided reports whether the latest responses closed their connections, but too few of them to
// tell whether the server is leaving.
func (c *CloseDetector) Undecided() bool {
	return c.keptAlive && c.consecutive > 0 && !c.Leaving()
}
