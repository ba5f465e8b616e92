// Package ringtest feeds decoders in tests.
package ringtest

import (
	"errors"

	"cherryrelay/internal/ring"
)

// ErrStuck ends a stream whose decoder reads nothing though the ring is full.
var ErrStuck = errors.New("ringtest: the ring is full and nothing is read")

// Feed writes text to a ring of the size in pieces of at most so many bytes, and returns the messages that the decoder's next finds, up to its
// first error. Next returns nil where no message is whole yet.
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
			return all, ErrStuck
		}
	}
	return all, nil
}
