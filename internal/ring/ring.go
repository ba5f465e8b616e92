// Package ring holds a bounded byte queue of fixed capacity.
package ring

import (
	"bytes"
	"sync/atomic"
)

// Buffer is a ring of bytes. One goroutine may write while another reads; neither takes a lock.
type Buffer struct {
	data    []byte
	scratch []byte
	head    atomic.Uint64 // read so far; moved by the reader alone
	tail    atomic.Uint64 // written so far; moved by the writer alone
}

// New returns a Buffer that holds up to size bytes; size is rounded up to a power of two.
func New(size int) *Buffer {
	n := 1
	for n < size {
		n <<= 1
	}
	return &Buffer{data: make([]byte, n)}
}

// Len is the number of bytes that can be read.
func (b *Buffer) Len() int { return int(b.tail.Load() - b.head.Load()) }

// Free is the number of bytes that can be written.
func (b *Buffer) Free() int { return len(b.data) - b.Len() }

// Write takes in as much of p as there is room for and returns how much that was.
func (b *Buffer) Write(p []byte) int {
	n := min(len(p), b.Free())
	tail := b.tail.Load()
	at := int(tail % uint64(len(b.data)))
	k := copy(b.data[at:], p[:n])
	copy(b.data, p[k:n])
	b.tail.Store(tail + uint64(n))
	return n
}

// Parts returns what can be read, in at most two pieces, without taking it.
func (b *Buffer) Parts() (first, second []byte) {
	at, n := int(b.head.Load()%uint64(len(b.data))), b.Len()
	if at+n <= len(b.data) {
		return b.data[at : at+n], nil
	}
	return b.data[at:], b.data[:at+n-len(b.data)]
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
