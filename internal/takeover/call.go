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

// Call is a call in transfer from one controller to another.
type Call struct {
	Events  []recovery.Event `cbor:"1,keyasint"`
	LastUs  int64            `cbor:"2,keyasint"` // when its owner was last known to be alive, in microseconds of the Unix clock
	MayLive bool             `cbor:"3,keyasint"` // its owner may live: messages that it has sent cannot be recalled
}

// magic begins a call's file and names the version of its format.
const magic = "cherryrelay call 1\n"

// errDamaged is the error of a call's file whose content is not what was written.
var errDamaged = errors.New("takeover: a call's file is damaged")

// encode returns the content of a call's file: magic, HMAC-SHA256 (with an empty key a checksum) and the call as CBOR.
func encode(c *Call, key []byte) ([]byte, error) {
	body, err := cbor.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("takeover: %w", err)
	}
	return slices.Concat([]byte(magic), authenticate(body, key), body), nil
}

func authenticate(body, key []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(body)
	return mac.Sum(nil)
}

func decode(text, key []byte) (*Call, error) {
	rest, ok := bytes.CutPrefix(text, []byte(magic))
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

// Book returns the state of the call, replayed from its events.
func (c *Call) Book() *recovery.CallTable {
	b := recovery.NewCallTable()
	for _, e := range c.Events {
		b.Apply(e)
	}
	b.MarkAlive(time.Duration(c.LastUs) * time.Microsecond)
	return b
}

// ID returns the call's id.
func (c *Call) ID() string { return c.Events[0].ID }
