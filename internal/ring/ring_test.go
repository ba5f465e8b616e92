package ring

import (
	"bytes"
	"testing"
)

// FuzzBuffer holds a ring against a plain queue.
func FuzzBuffer(f *testing.F) {
	f.Add([]byte("\x05hello\x83\x07worlds!\x90\x02xy"))
	f.Fuzz(func(t *testing.T, script []byte) {
		b, want := New(13), []byte{} // 16 bytes
		for len(script) > 0 {
			op := script[0]
			script = script[1:]
			if op >= 0x80 {
				n := min(int(op-0x80), len(want))
				b.Discard(int(op - 0x80))
				want = want[n:]
			} else {
				p := script[:min(int(op), len(script))]
				script = script[len(p):]
				n := b.Write(p)
				if free := 16 - len(want); n != min(len(p), free) {
					t.Fatalf("took %d of %d bytes with room for %d", n, len(p), free)
				}
				want = append(want, p[:n]...)
			}
			if got := b.Peek(100); !bytes.Equal(got, want) {
				t.Fatalf("holds %q, want %q", got, want)
			}
			if half := len(want) / 2; !bytes.Equal(b.Peek(half), want[:half]) {
				t.Fatalf("peek of %d: %q, want %q", half, b.Peek(half), want[:half])
			}
			for from := range want {
				got, i := b.Index('x', from), bytes.IndexByte(want[from:], 'x')
				if i >= 0 {
					i += from
				}
				if got != i {
					t.Fatalf("first x of %q from %d at %d, want %d", want, from, got, i)
				}
			}
		}
	})
}
