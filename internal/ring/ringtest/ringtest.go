// Package ringtest feeds input to decoders in tests.
package ringtest

import (
	"errors"

	"cherryrelay/internal/ring"
)

// ErrNoProgress is the error of Feed if the ring is full and the decoder reads nothing from it.
var ErrNoProgress = errors.New("ringtest: the ring is full and the decoder reads nothing")

// Feed writes text to a ring of the given size in pieces of at most piece bytes, and returns the messages that next decodes up to its
// first error. The function next returns nil while no message is complete.
func Feed[M any](next func(*ring.Buffer) (*M, error), size int, text []byte, piece int) (all []*M, err error) {
	in := ring.New(size)
	for len(text) > 0 {
		n := in.Write(text[:min(piece, len(text))])
		text = text[n:]
		for {
			m, err := next(in)
			if err != nil {
				return all, err
			}
			if m == nil {
				break
			}
			all = append(all, m)
		}
		if n == 0 {
			return all, ErrNoProgress
		}
	}
	return all, nil
}
