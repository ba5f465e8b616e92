package ring

import (
	"bytes"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// FuzzBuffer compares a ring with a plain slice over random writes and reads.
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
					t.Fatalf("wrote %d of %d bytes with %d bytes free", n, len(p), free)
				}
				want = append(want, p[:n]...)
			}
			if got := b.Peek(100); !bytes.Equal(got, want) {
				t.Fatalf("the content is %q, want %q", got, want)
			}
			if half := len(want) / 2; !bytes.Equal(b.Peek(half), want[:half]) {
				t.Fatalf("Peek(%d) = %q, want %q", half, b.Peek(half), want[:half])
			}
			for from := range want {
				got, i := b.Index('x', from), bytes.IndexByte(want[from:], 'x')
				if i >= 0 {
					i += from
				}
				if got != i {
					t.Fatalf("Index of x in %q from %d is %d, want %d", want, from, got, i)
				}
			}
		}
	})
}

// TestStorageFollowsContent guards against storage that is allocated in advance: with 96 KiB of rings for each accepted connection, a
// thousand connections that sent nothing took 100 MB.
func TestStorageFollowsContent(t *testing.T) {
	b := New(32 << 10)
	text := bytes.Repeat([]byte("0123456789abcdef!"), 2000)
	var got []byte
	for _, step := range []struct{ write, read, storage int }{
		{0, 0, 0}, {900, 800, 1 << 10}, {900, 0, 1 << 10}, {100, 0, 2 << 10}, {9000, 700, 16 << 10}, {0, 9400, 16 << 10}, {10, 10, 1 << 10},
	} {
		b.Write(text[:step.write])
		got = append(got, b.Peek(step.read)...)
		b.Discard(step.read)
		if b.StorageSize() != step.storage {
			t.Errorf("the storage has %d bytes after writing %d, want %d", b.StorageSize(), step.write, step.storage)
		}
	}
	want := slices.Concat(text[:900], text[:900], text[:100], text[:9000], text[:10])
	if !bytes.Equal(got, want) {
		t.Error("the bytes read differ from the bytes written")
	}
}

// TestConcurrentReadAndWrite replaces the storage while another goroutine reads. It also serves the race detector.
func TestConcurrentReadAndWrite(t *testing.T) {
	const total = 1 << 20
	b := New(8 << 10)
	go func() {
		chunk := make([]byte, 3000)
		for n := 0; n < total; {
			p := chunk[:min(1+n*7%len(chunk), total-n)]
			for i := range p {
				p[i] = byte((n + i) % 251)
			}
			n += b.Write(p)
		}
	}()
	for n := 0; n < total; {
		p := b.Peek(1 + n*13%5000)
		for i := range p {
			if p[i] != byte((n+i)%251) {
				t.Fatalf("byte %d is %d", n+i, p[i])
			}
		}
		b.Discard(len(p))
		n += len(p)
	}
}

// TestCut compares a ring with a plain slice over random writes, reads and cuts, also where the content wraps around.
func TestCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, model := New(1<<12), []byte(nil)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch p := rapid.SliceOfN(rapid.Byte(), 0, 700).Draw(t, "bytes"); rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				model = append(model, p[:b.Write(p)]...)
			case 1:
				n := rapid.IntRange(0, len(model)).Draw(t, "read")
				b.Discard(n)
				model = model[n:]
			case 2:
				from := rapid.IntRange(0, len(model)).Draw(t, "from")
				n := rapid.IntRange(0, len(model)-from).Draw(t, "cut")
				b.Cut(from, n)
				model = append(append([]byte(nil), model[:from]...), model[from+n:]...)
			}
			if got := b.Peek(b.Len()); !bytes.Equal(got, model) {
				t.Fatalf("the content differs from the model: %d bytes, want %d", len(got), len(model))
			}
		}
	})
}
