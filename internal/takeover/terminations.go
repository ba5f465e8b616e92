package takeover

import (
	"path/filepath"
	"strconv"
	"strings"

	"cherryrelay/internal/decide/recovery"
	decide "cherryrelay/internal/decide/takeover"
)

// terminationTTL is how long a termination file is kept for the holder of the call. Terminated calls are retained for the same time.
const terminationTTL = recovery.RetentionPeriod

// exchangeTerminations publishes the ends of calls that are not held here, and passes the published ends to the core, which applies those of the
// calls that it holds.
func (p *Participant) exchangeTerminations() {
	p.publishTerminations()
	p.expireTerminations()
	if published := p.readTerminations(); len(published) > 0 {
		p.options.Post(func() {
			if held := p.core.ApplyRemoteEnds(published); len(held) > 0 {
				go p.removeTerminations(held) // the event loop does no I/O
			}
		})
	}
}

// publishTerminations writes a termination file for each end reported with Terminated.
func (p *Participant) publishTerminations() {
	p.mu.Lock()
	terminations := p.terminations
	p.terminations = map[string]int{}
	p.status.RemoteEnds += uint64(len(terminations))
	p.mu.Unlock()
	for id, cause := range terminations {
		if err := p.files.replace(filepath.Join(decide.TerminationsDir, id), []byte(strconv.Itoa(cause))); err != nil {
			p.recordFailure(err)
			continue
		}
		p.terminatedAt[id] = p.now()
	}
}

// expireTerminations removes the termination files of this controller that are older than terminationTTL.
func (p *Participant) expireTerminations() {
	for id, at := range p.terminatedAt {
		if p.now()-at > terminationTTL {
			delete(p.terminatedAt, id)
			p.recordFailure(p.files.Remove(filepath.Join(decide.TerminationsDir, id)))
		}
	}
}

// readTerminations returns the causes of all published ends, by the id of the call.
func (p *Participant) readTerminations() map[string]int {
	ids, err := p.files.List(decide.TerminationsDir)
	p.recordFailure(err)
	causes := map[string]int{}
	for _, id := range ids {
		data, err := p.files.Read(filepath.Join(decide.TerminationsDir, id))
		if err != nil || strings.HasSuffix(id, partialSuffix) {
			continue
		}
		if cause, err := strconv.Atoi(string(data)); err == nil {
			causes[id] = cause
		}
	}
	return causes
}

// removeTerminations removes the termination files of calls whose ends have been applied.
func (p *Participant) removeTerminations(ids []string) {
	for _, id := range ids {
		_ = p.files.Remove(filepath.Join(decide.TerminationsDir, id)) // on failure, its publisher removes it later
	}
}
