package takeover

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cherryrelay/internal/decide/recovery"
)

// Call is a call that passes from one controller to another, by a takeover or a transfer.
type Call struct {
	Events       []recovery.Event `cbor:"1,keyasint"` // the recorded events of the call, oldest first
	LastAliveUs  int64            `cbor:"2,keyasint"` // time at which its owner was last known to be alive, in µs since the Unix epoch
	OwnerMayLive bool             `cbor:"3,keyasint"` // whether the owner's process may still be alive: messages that it has sent cannot be recalled
}

// magic is the beginning of a call's file, with the version of the format.
const magic = "cherryrelay call 1\n"

// errDamaged is returned for a call's file whose content is not what was written.
var errDamaged = errors.New("takeover: a call's file is damaged")

// encode returns the content of a call's file: magic, the HMAC-SHA256 of the encoded call, and the call encoded as CBOR. With an empty key
// the HMAC is only a checksum.
func encode(c *Call, key []byte) ([]byte, error) {
	body, err := cbor.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("takeover: %w", err)
	}
	return slices.Concat([]byte(magic), authenticate(body, key), body), nil
}

// authenticate returns the HMAC of an encoded call.
func authenticate(body, key []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(body)
	return mac.Sum(nil)
}

// decode decodes the content of a call's file.
func decode(data, key []byte) (*Call, error) {
	rest, ok := bytes.CutPrefix(data, []byte(magic))
	if !ok || len(rest) < sha256.Size {
		return nil, errDamaged
	}
	mac, body := rest[:sha256.Size], rest[sha256.Size:]
	if !hmac.Equal(authenticate(body, key), mac) {
		return nil, errDamaged
	}
	c := &Call{}
	if err := cbor.Unmarshal(body, c); err != nil || len(c.Events) == 0 {
		return nil, fmt.Errorf("%w: %w", errDamaged, err)
	}
	return c, nil
}

// CallTable replays the events of the call, and returns a table with its state.
func (c *Call) CallTable() *recovery.CallTable {
	table := recovery.NewCallTable()
	for _, e := range c.Events {
		table.Apply(e)
	}
	table.MarkAlive(time.Duration(c.LastAliveUs) * time.Microsecond)
	return table
}

// ID returns the call's id.
func (c *Call) ID() string { return c.Events[0].ID }
