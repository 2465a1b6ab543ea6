package routing

import "github.com/filbertlever/filbertlever"

// SetSlowdown sets the factor by which a host is slower than expected.
func (r *Router) SetSlowdown(id filbertlever.HostID, slowdown float64) {
	if i, ok := r.index[id]; ok {
		r.hosts[i].slowdown = slowdown
	}
}
