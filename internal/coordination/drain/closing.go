package drain

// Closing tells from a server's answers whether the server leaves: one that leaves closes the
// connection after each of them, another one does so now and then, or always. The zero value is
// a server that has not answered.
type Closing struct {
	// kept is true once the server has kept a connection.
	kept bool
	// inRow is how many of the last answers closed theirs.
	inRow int
}

// closesLeast is how many answers in a row must close their connections.
const closesLeast = 3

// Observe takes the next answer.
func (c *Closing) Observe(closes bool) {
	if !closes {
		c.kept, c.inRow = true, 0
		return
	}
	c.inRow = min(c.inRow+1, closesLeast)
}

// Leaving reports whether the server leaves.
func (c *Closing) Leaving() bool { return c.kept && c.inRow >= closesLeast }
