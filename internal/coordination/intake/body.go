package intake

// Body is the body of a request, in segments. A body that grows is not copied.
type Body [][]byte

// Len returns the number of bytes.
func (b Body) Len() int {
	n := 0
	for _, segment := range b {
		n += len(segment)
	}
	return n
}
