package gateway

import (
	"net/http"
	"time"
)

// writeDeadline is when the response must have been written.
func (x *exchange) writeDeadline() time.Time { return x.deadline.Add(writeGracePeriod) }

// limitWrites limits the time for writing the response. A caller that does not read would otherwise keep
// its request in flight without end. The HTTP server removes the limit after the response.
func (x *exchange) limitWrites() {
	_ = http.NewResponseController(x.writer).SetWriteDeadline(x.writeDeadline())
}
