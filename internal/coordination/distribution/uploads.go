package distribution

import "slices"

// Upload is a peer's request for a chunk that this host holds.
type Upload struct {
	// ID is unique among the uploads of a host.
	ID uint64
	// Chunk and Descendants are those of the peer's Fetch.
	Chunk       int
	Descendants int
}

// sendsBefore reports whether a is sent before b. Chunks are sent in their
// order, but each descendant of the peer in the chunk's tree moves the chunk
// one position forward. A peer that many other hosts depend on is served first.
func sendsBefore(a, b Upload) bool {
	if x, y := a.Chunk-a.Descendants, b.Chunk-b.Descendants; x != y {
		return x < y
	}
	return a.ID < b.ID
}

// UploadQueue limits how many chunks a host sends at once. Sending to every
// peer that asks would split the link and delay all of them. With few uploads
// at a time, the peers that pass the chunk on receive it sooner. It is not safe
// for concurrent use.
type UploadQueue struct {
	// Slots is how many chunks are sent at once.
	Slots   int
	sending int
	waiting []Upload
}

// Submit adds an upload and reports whether it may start now.
func (u *UploadQueue) Submit(upload Upload) bool {
	if u.sending < u.Slots {
		u.sending++
		return true
	}
	u.waiting = append(u.waiting, upload)
	return false
}

// Done records the end of a started upload and returns the one to start next.
func (u *UploadQueue) Done() (next Upload, ok bool) {
	if len(u.waiting) == 0 {
		u.sending--
		return Upload{}, false
	}
	best := 0
	for i := range u.waiting {
		if sendsBefore(u.waiting[i], u.waiting[best]) {
			best = i
		}
	}
	next = u.waiting[best]
	u.waiting = slices.Delete(u.waiting, best, best+1)
	return next, true
}

// Cancel removes a waiting upload and reports whether it was waiting.
func (u *UploadQueue) Cancel(id uint64) bool {
	i := slices.IndexFunc(u.waiting, func(w Upload) bool { return w.ID == id })
	if i < 0 {
		return false
	}
	u.waiting = slices.Delete(u.waiting, i, i+1)
	return true
}
