// Package ring holds a bounded byte queue of fixed capacity.
package ring

import (
	"bytes"
	"sync/atomic"
)

// minStorage is the first storage of a ring; nothing that is sent by itself needs more.
const minStorage = 1 << 10

// Buffer is a ring of bytes. One goroutine may write while another reads; neither takes a lock. It has no storage until
// something is written, and what it has grows with what waits: most connections say little or nothing, and hundreds of
// them must fit into a small memory.
type Buffer struct {
	size    int
	data    atomic.Pointer[[]byte] // replaced by the writer alone
	scratch []byte
	head    atomic.Uint64 // read so far; moved by the reader alone
	tail    atomic.Uint64 // written so far; moved by the writer alone
}

// New returns a Buffer that holds up to size bytes; size is rounded up to a power of two.
func New(size int) *Buffer {
	b := &Buffer{size: nextPowerOfTwo(size)}
	b.data.Store(new([]byte))
	return b
}

func nextPowerOfTwo(size int) int {
	n := 1
	for n < size {
		n <<= 1
	}
	return n
}

// Len is the number of bytes that can be read.
func (b *Buffer) Len() int { return int(b.tail.Load() - b.head.Load()) }

// Free is the number of bytes that can be written.
func (b *Buffer) Free() int { return b.size - b.Len() }

// Cap is the storage that is held.
func (b *Buffer) Cap() int { return len(*b.data.Load()) }

// Write takes in as much of p as there is room for and returns how much that was.
func (b *Buffer) Write(p []byte) int {
	n := min(len(p), b.Free())
	if n == 0 {
		return 0
	}
	data := b.reserve(n)
	tail := b.tail.Load()
	at := int(tail % uint64(len(data)))
	k := copy(data[at:], p[:n])
	copy(data, p[k:n])
	b.tail.Store(tail + uint64(n)) // after the storage: who sees the bytes sees where they are
	return n
}

// reserve makes storage for n more bytes. The reader may go on with the old one: what it can see stays there as it is. Much
// storage that was needed once is given back at the next write.
func (b *Buffer) reserve(n int) []byte {
	data := *b.data.Load()
	head, tail := b.head.Load(), b.tail.Load()
	need := int(tail-head) + n
	if want := max(minStorage, nextPowerOfTwo(need)); need > len(data) || head == tail && len(data) > 4*want {
		grown := make([]byte, min(want, b.size))
		for at := head; at < tail; {
			from, to := int(at%uint64(len(data))), int(at%uint64(len(grown)))
			at += uint64(copy(grown[to:min(len(grown), to+int(tail-at))], data[from:]))
		}
		b.data.Store(&grown)
		return grown
	}
	return data
}

// Empty gives the storage back if nothing waits. Only who both writes and reads may call it.
func (b *Buffer) Empty() {
	if b.Len() == 0 && b.Cap() > 0 {
		b.data.Store(new([]byte))
	}
}

// Parts returns what can be read, in at most two pieces, without taking it.
func (b *Buffer) Parts() (first, second []byte) {
	n := b.Len() // before the storage, which the writer may replace
	data := *b.data.Load()
	if n == 0 {
		return nil, nil
	}
	at := int(b.head.Load() % uint64(len(data)))
	if at+n <= len(data) {
		return data[at : at+n], nil
	}
	return data[at:], data[:at+n-len(data)]
}

// Peek returns the first n bytes in one piece, or fewer if fewer are there. The slice is good until the
// next Peek or Discard.
func (b *Buffer) Peek(n int) []byte {
	first, second := b.Parts()
	if n <= len(first) {
		return first[:n]
	}
	if len(second) == 0 {
		return first
	}
	b.scratch = append(append(b.scratch[:0], first...), second[:min(n-len(first), len(second))]...)
	return b.scratch
}

// Index is the place of the first c at or after from, or -1.
func (b *Buffer) Index(c byte, from int) int {
	first, second := b.Parts()
	if from < len(first) {
		if i := bytes.IndexByte(first[from:], c); i >= 0 {
			return from + i
		}
		from = len(first)
	}
	if from -= len(first); from < len(second) {
		if i := bytes.IndexByte(second[from:], c); i >= 0 {
			return len(first) + from + i
		}
	}
	return -1
}

// Discard takes n bytes out.
func (b *Buffer) Discard(n int) { b.head.Add(uint64(min(n, b.Len()))) }

// Cut takes n bytes out of the middle, from the place from on. Only who both writes and reads may call it.
func (b *Buffer) Cut(from, n int) {
	all := b.Peek(b.Len())
	if from < 0 || n <= 0 || from+n > len(all) {
		return
	}
	rest := append([]byte(nil), all[from+n:]...)
	b.tail.Store(b.head.Load() + uint64(from))
	b.Write(rest)
}
