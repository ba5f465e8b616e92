// Package takeover is a controller's hand in the directory that all controllers of a site reach: it takes the ledgers of those that are
// lost, lays out their calls, and finds those that callers come for. The steps and when to take them are decided in decide/takeover;
// nothing here runs on the event loop.
package takeover

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	decide "cherryrelay/internal/decide/takeover"

	"cherryrelay/internal/decide/recovery"
	"cherryrelay/internal/ledger"
)

// Call is one call as it passes from one controller to another.
type Call struct {
	Events  []recovery.Event `cbor:"1,keyasint"`
	LastUs  int64            `cbor:"2,keyasint"` // when its owner was last known to be alive, by the Unix clock
	MayLive bool             `cbor:"3,keyasint"` // its owner may live: what it has sent it cannot take back
}

// magic begins a call's file, with its form.
const magic = "cherryrelay call 1\n"

// errSpoilt is the error of a file that is not what was written.
var errSpoilt = errors.New("takeover: a call's file is spoilt")

// encode writes a call's file: magic, a MAC (with an empty key a checksum) and the call.
func encode(c *Call, key []byte) ([]byte, error) {
	body, err := cbor.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("takeover: %w", err)
	}
	return slices.Concat([]byte(magic), sum(body, key), body), nil
}

func sum(body, key []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(body)
	return mac.Sum(nil)
}

func decode(text, key []byte) (*Call, error) {
	rest, ok := bytes.CutPrefix(text, []byte(magic))
	if !ok || len(rest) < sha256.Size || !hmac.Equal(sum(rest[sha256.Size:], key), rest[:sha256.Size]) {
		return nil, errSpoilt
	}
	c := &Call{}
	if err := cbor.Unmarshal(rest[sha256.Size:], c); err != nil || len(c.Events) == 0 {
		return nil, fmt.Errorf("%w: %w", errSpoilt, err)
	}
	return c, nil
}

// Book is the call as decisions on recovery see it.
func (c *Call) Book() *recovery.Book {
	b := recovery.NewBook()
	for _, e := range c.Events {
		b.Apply(e)
	}
	b.Alive(time.Duration(c.LastUs) * time.Microsecond)
	return b
}

// ID is the call's.
func (c *Call) ID() string { return c.Events[0].ID }

// files are those below a directory.
type files struct{ root *os.Root }

func (f files) List(dir string) ([]string, error) {
	d, err := f.root.Open(dir)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("takeover: %w", err)
	}
	defer d.Close()
	names, err := d.Readdirnames(-1)
	if err != nil && !errors.Is(err, fs.ErrNotExist) { // removed while it is read
		return nil, fmt.Errorf("takeover: %w", err)
	}
	slices.Sort(names)
	return names, nil
}

// gone makes the error of what is not there the one that decisions know.
func gone(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, fs.ErrNotExist):
		return fmt.Errorf("%w: %w", decide.ErrGone, err)
	}
	return fmt.Errorf("takeover: %w", err)
}

func (f files) Read(file string) ([]byte, error) {
	text, err := f.root.ReadFile(file)
	return text, gone(err)
}

func (f files) Write(file string, text []byte) error {
	return gone(f.root.WriteFile(file, text, 0o600))
}
func (f files) Make(dir string) error        { return gone(f.root.Mkdir(dir, 0o700)) }
func (f files) Rename(from, to string) error { return gone(f.root.Rename(from, to)) }
func (f files) Remove(path string) error     { return gone(f.root.RemoveAll(path)) }

// read is how a ledger's calls are read: its records, and beside them the calls that its owner had taken and not yet kept.
func (r *Room) read(held bool) decide.Reader {
	return func(dir string) (map[string][]byte, error) {
		d, err := ledger.ReadOnly(filepath.Join(r.o.Ledgers, dir))
		if err != nil {
			return nil, gone(err)
		}
		found, err := ledger.Read(d, "", r.o.Key)
		if err := errors.Join(err, d.Close()); err != nil {
			return nil, err //nolint:wrapcheck // it says what it is
		}
		book, bad := recovery.Read(found.Records, found.Gaps)
		if bad != nil {
			found.Damage = append(found.Damage, bad.Error())
		}
		for _, text := range found.Damage {
			r.log.Error("the ledger of a lost controller is damaged", "ledger", dir, "damage", text)
		}
		calls := map[string][]byte{}
		taken, err := r.files.List(decide.In(dir))
		if err != nil {
			return nil, err
		}
		for _, id := range taken {
			text, err := r.files.Read(filepath.Join(decide.In(dir), id))
			if err != nil {
				return nil, err
			}
			calls[id] = text
		}
		for _, c := range book.Calls() {
			if c.State >= recovery.Answered && book.Last()-c.At > recovery.Remember {
				continue
			}
			events := c.Events()
			if len(events) == 0 {
				continue
			}
			text, err := encode(&Call{Events: events, LastUs: book.Last().Microseconds(), MayLive: held}, r.o.Key)
			if err != nil {
				return nil, err
			}
			calls[c.ID] = text // the records count
		}
		return calls, nil
	}
}
