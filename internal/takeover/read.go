package takeover

import (
	"errors"
	"path/filepath"

	"cherryrelay/internal/decide/recovery"
	decide "cherryrelay/internal/decide/takeover"
	"cherryrelay/internal/ledger"
)

// readLedger returns a function that reads the calls of a ledger's directory. These are the calls in its records, and the calls in its inbox,
// which its owner had claimed and not yet persisted.
func (p *Participant) readLedger(ownerMayLive bool) decide.LedgerReader {
	return func(dir string) (map[string][]byte, error) {
		table, err := p.replay(dir)
		if err != nil {
			return nil, err
		}
		calls, err := p.readInbox(dir)
		if err != nil {
			return nil, err
		}
		for _, c := range table.Calls() {
			events := c.Events()
			expired := c.State >= recovery.StateRejected && table.LastAlive()-c.LastEventAt > recovery.RetentionPeriod
			if expired || len(events) == 0 {
				continue
			}
			data, err := encode(&Call{Events: events, LastAliveUs: table.LastAlive().Microseconds(), OwnerMayLive: ownerMayLive}, p.options.Key)
			if err != nil {
				return nil, err
			}
			calls[c.ID] = data // the records are newer than the inbox file
		}
		return calls, nil
	}
}

// replay reads the records of a ledger into a table of calls. It logs any damage to the ledger.
func (p *Participant) replay(dir string) (*recovery.CallTable, error) {
	d, err := ledger.OpenReadOnly(filepath.Join(p.options.LedgersDir, dir))
	if err != nil {
		return nil, wrap(err)
	}
	contents, err := ledger.Read(d, "", p.options.Key)
	if err := errors.Join(err, d.Close()); err != nil {
		return nil, err //nolint:wrapcheck // the error names the path
	}
	table, decodeErr := recovery.Replay(contents.Records, contents.Gaps)
	if decodeErr != nil {
		contents.Damage = append(contents.Damage, decodeErr.Error())
	}
	for _, damage := range contents.Damage {
		p.log.Error("the ledger of a failed controller is damaged", "ledger", dir, "damage", damage)
	}
	return table, nil
}

// readInbox returns the contents of the files in a ledger's inbox, by the id of the call.
func (p *Participant) readInbox(dir string) (map[string][]byte, error) {
	inbox := decide.InboxDir(dir)
	ids, err := p.files.List(inbox)
	if err != nil {
		return nil, err
	}
	calls := map[string][]byte{}
	for _, id := range ids {
		if calls[id], err = p.files.Read(filepath.Join(inbox, id)); err != nil {
			return nil, err
		}
	}
	return calls, nil
}
