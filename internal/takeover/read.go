package takeover

import (
	"errors"
	"path/filepath"

	"cherryrelay/internal/decide/recovery"
	decide "cherryrelay/internal/decide/takeover"
	"cherryrelay/internal/ledger"
)

// readLedger returns a function that reads the calls of a ledger's directory: those of its records, and those in its inbox that its owner
// had claimed and not yet persisted.
func (r *Room) readLedger(ownerMayLive bool) decide.LedgerReader {
	return func(dir string) (map[string][]byte, error) {
		book, err := r.replay(dir)
		if err != nil {
			return nil, err
		}
		calls, err := r.readInbox(dir)
		if err != nil {
			return nil, err
		}
		for _, c := range book.Calls() {
			events := c.Events()
			forgotten := c.State >= recovery.StateRejected && book.LastAlive()-c.LastEventAt > recovery.RetentionPeriod
			if forgotten || len(events) == 0 {
				continue
			}
			text, err := encode(&Call{Events: events, LastUs: book.LastAlive().Microseconds(), MayLive: ownerMayLive}, r.options.Key)
			if err != nil {
				return nil, err
			}
			calls[c.ID] = text // the records take precedence over the inbox
		}
		return calls, nil
	}
}

// replay reads the records of a ledger into a book. Damage is logged.
func (r *Room) replay(dir string) (*recovery.CallTable, error) {
	d, err := ledger.OpenReadOnly(filepath.Join(r.options.Ledgers, dir))
	if err != nil {
		return nil, wrap(err)
	}
	found, err := ledger.Read(d, "", r.options.Key)
	if err := errors.Join(err, d.Close()); err != nil {
		return nil, err //nolint:wrapcheck // its error names the path
	}
	book, unreadable := recovery.Replay(found.Records, found.Gaps)
	if unreadable != nil {
		found.Damage = append(found.Damage, unreadable.Error())
	}
	for _, text := range found.Damage {
		r.log.Error("the ledger of a lost controller is damaged", "ledger", dir, "damage", text)
	}
	return book, nil
}

// readInbox reads the files of calls in a ledger's inbox, by id.
func (r *Room) readInbox(dir string) (map[string][]byte, error) {
	inbox := decide.InboxDir(dir)
	ids, err := r.files.List(inbox)
	if err != nil {
		return nil, err
	}
	calls := map[string][]byte{}
	for _, id := range ids {
		if calls[id], err = r.files.Read(filepath.Join(inbox, id)); err != nil {
			return nil, err
		}
	}
	return calls, nil
}
