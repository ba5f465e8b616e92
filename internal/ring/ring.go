// Package ring implements a bounded byte queue for one reader and one writer.
package ring

import (
	"bytes"
	"sync/atomic"
)

// minStorage is the size in bytes of the first storage of a ring. Any message that is sent on its own fits into it.
const minStorage = 1 << 10

// Buffer is a ring buffer of bytes. One goroutine may write while another reads, without locks. Buffer allocates no storage before the
// first write, and the storage grows with the content: most connections send little or nothing, and hundreds of them must fit into a small
// memory.
type Buffer struct {
	size    int                    // capacity in bytes, a power of two
	data    atomic.Pointer[[]byte] // storage; replaced by the writer only
	scratch []byte                 // joins the two parts for Peek
	head    atomic.Uint64          // total of bytes read; changed by the reader only
	tail    atomic.Uint64          // total of bytes written; changed by the writer only
}

// New returns an empty Buffer with a capacity of size bytes, rounded up to a power of two.
func New(size int) *Buffer {
	b := &Buffer{size: nextPowerOfTwo(size)}
	b.data.Store(new([]byte))
	return b
}

// nextPowerOfTwo returns the smallest power of two that is not below size.
func nextPowerOfTwo(size int) int {
	n := 1
	for n < size {
		n <<= 1
	}
	return n
}

// Len returns the number of bytes that can be read.
func (b *Buffer) Len() int { return int(b.tail.Load() - b.head.Load()) }

// Free returns the number of bytes that can be written.
func (b *Buffer) Free() int { return b.size - b.Len() }

// StorageSize returns the size in bytes of the allocated storage, which is at most the capacity.
func (b *Buffer) StorageSize() int { return len(*b.data.Load()) }

// Write appends as much of p as fits and returns the number of bytes written.
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
	b.tail.Store(tail + uint64(n)) // after the storage: a reader that sees the new tail also sees the storage with the bytes
	return n
}

// reserve returns storage with space for n more bytes, allocated anew if necessary. A concurrent reader may go on with the old storage,
// whose readable bytes do not change. An empty ring whose storage is much larger than needed gets a smaller one.
func (b *Buffer) reserve(n int) []byte {
	data := *b.data.Load()
	head, tail := b.head.Load(), b.tail.Load()
	need := int(tail-head) + n
	if want := max(minStorage, nextPowerOfTwo(need)); need > len(data) || head == tail && len(data) > 4*want {
		resized := make([]byte, min(want, b.size))
		for at := head; at < tail; {
			from, to := int(at%uint64(len(data))), int(at%uint64(len(resized)))
			at += uint64(copy(resized[to:min(len(resized), to+int(tail-at))], data[from:]))
		}
		b.data.Store(&resized)
		return resized
	}
	return data
}

// ReleaseStorage releases the storage if the ring is empty. It must not run concurrently with reads or writes.
func (b *Buffer) ReleaseStorage() {
	if b.Len() == 0 && b.StorageSize() > 0 {
		b.data.Store(new([]byte))
	}
}

// Parts returns the readable bytes in one or two parts without removing them.
func (b *Buffer) Parts() (first, second []byte) {
	n := b.Len() // read before the storage, which the writer may replace at any time
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

// Peek returns the first n bytes as one slice without removing them, or all bytes if there are fewer. The slice is valid until the next
// Peek or Discard.
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

// Index returns the offset of the first c at or after the offset from, or -1.
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

// Discard removes the first n bytes, or all bytes if there are fewer.
func (b *Buffer) Discard(n int) { b.head.Add(uint64(min(n, b.Len()))) }

// Cut removes n bytes at the offset from. It must not run concurrently with reads or writes.
func (b *Buffer) Cut(from, n int) {
	all := b.Peek(b.Len())
	if from < 0 || n <= 0 || from+n > len(all) {
		return
	}
	rest := append([]byte(nil), all[from+n:]...)
	b.tail.Store(b.head.Load() + uint64(from))
	b.Write(rest)
}
