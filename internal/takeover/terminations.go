package takeover

import (
	"path/filepath"
	"strconv"
	"strings"

	"cherryrelay/internal/decide/recovery"
	decide "cherryrelay/internal/decide/takeover"
)

// terminationTTL is how long a termination file is kept for the holder of the call: as long as a call that has ended is remembered.
const terminationTTL = recovery.RetentionPeriod

// exchangeTerminations publishes the ends reported here of calls that other controllers hold, and delivers those that they published.
func (r *Room) exchangeTerminations() {
	r.publishTerminations()
	r.expireTerminations()
	if published := r.readTerminations(); len(published) > 0 {
		r.options.Post(func() {
			if held := r.core.ApplyRemoteEnds(published); len(held) > 0 {
				go r.removeTerminations(held) // the event loop does no I/O
			}
		})
	}
}

func (r *Room) publishTerminations() {
	r.mu.Lock()
	terminations := r.terminations
	r.terminations = map[string]int{}
	r.status.Ends += uint64(len(terminations))
	r.mu.Unlock()
	for id, cause := range terminations {
		if err := r.files.replace(filepath.Join(decide.TerminationsDir, id), []byte(strconv.Itoa(cause))); err != nil {
			r.recordFailure(err)
			continue
		}
		r.terminatedAt[id] = r.now()
	}
}

func (r *Room) expireTerminations() {
	for id, at := range r.terminatedAt {
		if r.now()-at > terminationTTL {
			delete(r.terminatedAt, id)
			r.recordFailure(r.files.Remove(filepath.Join(decide.TerminationsDir, id)))
		}
	}
}

// readTerminations returns the causes of all published ends, by the id of the call.
func (r *Room) readTerminations() map[string]int {
	ids, err := r.files.List(decide.TerminationsDir)
	r.recordFailure(err)
	causes := map[string]int{}
	for _, id := range ids {
		text, err := r.files.Read(filepath.Join(decide.TerminationsDir, id))
		if err != nil || strings.HasSuffix(id, partialSuffix) {
			continue
		}
		if cause, err := strconv.Atoi(string(text)); err == nil {
			causes[id] = cause
		}
	}
	return causes
}

func (r *Room) removeTerminations(ids []string) {
	for _, id := range ids {
		_ = r.files.Remove(filepath.Join(decide.TerminationsDir, id)) // its publisher removes it otherwise
	}
}
