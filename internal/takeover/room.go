package takeover

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	dto "github.com/prometheus/client_model/go"

	"cherryrelay/internal/decide/recovery"
	decide "cherryrelay/internal/decide/takeover"
	"cherryrelay/internal/ledger"
	"cherryrelay/internal/telemetry"
)

const (
	// lookEvery is the pace of the look at the directory, and lookEach what each ledger in it adds: so that a large fleet does not spend
	// its processors on looking at itself.
	lookEvery, lookEach = 50 * time.Millisecond, 500 * time.Microsecond
	// keepEnds is how long the end of a call waits for who holds the call: as long as a call that is over is known.
	keepEnds = recovery.Remember
	// settled is how many leases a process must have been certain of its name before it takes the ledger of an owner that may live.
	settled = 2
	// maxWants bounds the calls that are looked for at once, as many as one connection may resume.
	maxWants = 16 << 10
	// maxTold bounds what operators are shown of takeovers, the latest.
	maxTold = 256
	// OwnerName is the file that says as which member the owner of a ledger lives.
	OwnerName = "owner"
	// handed is the number of the ledger that is no lost one's, but holds the calls that its controller gives to others.
	handed = "handed"
)

// Core is what the room reports to, on its event loop.
type Core interface {
	// Arrived brings a call that was taken, and the cause of its end if a dispatcher has told that already (-1 if not).
	Arrived(c *Call, over int)
	// Missing tells that a call that was wanted is nowhere to be had; cut, that nobody can have it.
	Missing(id string, cut bool)
	// Elsewhere brings ends that dispatchers told to controllers which do not hold the calls; it returns the ids of those that are held here.
	Elsewhere(ends map[string]int) (mine []string)
	// Wanted brings calls that callers have come for at other controllers, with the hashes of their tokens.
	Wanted(calls map[string][]byte)
	// Given tells that a call's file is written, and the call may be let go.
	Given(id string)
}

// Options say where the directory is, and whose ledger is this process's.
type Options struct {
	Ledgers string
	Name    string
	Key     []byte // of the ledgers' MAC; nil for none
	Lease   time.Duration
	Post    func(func()) // has a function run on the event loop
	Still   func() error // whether the own ledger is this process's still
	Taken   func(error)  // it is not: this process must let go of all its calls
	// Certain tells as which member this process lives, if it is certain; nil without members.
	Certain func() (decide.Life, bool)
	Fleet   decide.Fleet
}

// Told is a takeover as operators are shown it.
type Told struct {
	At     time.Time `json:"at"`
	Name   string    `json:"name"`
	Held   bool      `json:"held"` // its owner's process may live
	Calls  int       `json:"calls"`
	TookMs int64     `json:"took_ms"` // until its calls were laid out
	From   string    `json:"from,omitempty"`
}

// Shown is what operators are shown.
type Shown struct {
	Sealed  uint64 `json:"sealed"`  // ledgers of lost controllers that this one took
	Found   uint64 `json:"found"`   // calls that callers came for, and that were found elsewhere
	Left    uint64 `json:"left"`    // calls that nobody came for, taken by their sealer
	Given   uint64 `json:"given"`   // calls given to other controllers, whose callers had come back there
	Unknown uint64 `json:"unknown"` // calls that callers came for, and that were nowhere
	Ends    uint64 `json:"ends"`    // ends of calls that were told here and belonged elsewhere
	Failed  uint64 `json:"failed"`  // steps on the directory that failed
	Waiting int    `json:"waiting"` // calls that are being looked for
	LookMs  int64  `json:"look_ms"` // how long the last look took
	Told    []Told `json:"takeovers"`
}

// want is a call that is looked for: since when, and with what token it is claimed.
type want struct {
	since time.Duration
	token []byte
}

// lookedName is the file in a ledger that its owner writes after each look at what others want, while there is anything. Its time and that of
// what is wanted are the file system's.
const lookedName = "looked"

// lookedAt is when the last of the owners of other ledgers has looked; zero if one of them has not, or may not live.
func (r *Room) lookedAt(others []string) (least time.Time) {
	for i, name := range others {
		info, err := r.files.root.Stat(filepath.Join(name, lookedName))
		if err != nil {
			return time.Time{}
		}
		if held, err := ledger.Held(filepath.Join(r.o.Ledgers, name)); err != nil || !held {
			return time.Time{} // it is about to be sealed
		}
		if at := info.ModTime(); i == 0 || at.Before(least) {
			least = at
		}
	}
	return least
}

// Path is where operators ask.
const Path = "/api/fleet/takeovers"

// Room is one controller's hand in the directory. Its methods may be called from any goroutine and do not wait for the disk.
type Room struct {
	o     Options
	core  Core
	log   *slog.Logger
	files files
	begun time.Time

	answered atomic.Bool // the core has been asked for all that others wanted at the last look

	wake   chan struct{}
	ended  chan struct{}
	cancel context.CancelFunc

	mu    sync.Mutex
	wants map[string]want
	kept  []string
	ends  map[string]int
	gives map[string][]byte
	gone  []string // calls that were given, to be laid out
	shown Shown

	// The rest is the room's own goroutine's.
	watch, heirs *decide.Watch
	owner        decide.Life
	certain      time.Duration                   // since when this process has been certain of its name, as owner
	pending      map[string]bool                 // calls of the own in/ that the core has been told of
	opened       map[decide.Sealed]time.Duration // since when calls of the own sealed ledgers wait
	wrote        map[string]time.Duration        // ends that were written, and when
	asked        map[string]time.Time            // calls that others were asked for, and when
}

// Open makes the room of a controller that has its ledger. It works until Close.
func Open(core Core, o Options, log *slog.Logger) (*Room, error) {
	root, err := os.OpenRoot(o.Ledgers)
	if err != nil {
		return nil, fmt.Errorf("takeover: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Room{o: o, core: core, log: log, files: files{root}, begun: time.Now(), wake: make(chan struct{}, 1), ended: make(chan struct{}), cancel: cancel,
		wants: map[string]want{}, ends: map[string]int{}, gives: map[string][]byte{}, watch: decide.NewWatch(o.Name), heirs: decide.NewWatch(o.Name),
		pending: map[string]bool{}, opened: map[decide.Sealed]time.Duration{}, wrote: map[string]time.Duration{}, asked: map[string]time.Time{}}
	if err := errors.Join(decide.Prepare(r.files), decide.PrepareOwn(r.files, o.Name), decide.PrepareHanded(r.files, r.hand())); err != nil {
		cancel()
		return nil, errors.Join(err, root.Close())
	}
	go r.run(ctx)
	return r, nil
}

// Close ends the room's work. What is under way stays in the directory for others.
func (r *Room) Close() error {
	r.cancel()
	<-r.ended
	return r.files.root.Close() //nolint:wrapcheck // it says what it is
}

func (r *Room) hand() decide.Sealed {
	return decide.Sealed{Name: r.o.Name, Number: handed, Taker: r.o.Name}
}

func (r *Room) nudge() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Want has a call looked for. It reports whether it is: not if too many are.
func (r *Room) Want(id string, token []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, wanted := r.wants[id]; !wanted {
		if len(r.wants) >= maxWants {
			return false
		}
		r.wants[id] = want{r.now(), token}
	}
	r.nudge()
	return true
}

// Kept tells that calls are in the own ledger by now.
func (r *Room) Kept(ids ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kept = append(r.kept, ids...)
	r.nudge()
}

// Ended tells the end of a call that is not held here.
func (r *Room) Ended(id string, cause int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ends) < maxWants {
		r.ends[id] = cause
	}
	r.nudge()
}

// Give has a call's file written, so that it can be let go; Given tells the core when it is.
func (r *Room) Give(c *Call) error {
	text, err := encode(c, r.o.Key)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gives[c.ID()] = text
	r.nudge()
	return nil
}

// Gone tells that the own ledger has let go of a call whose file is written: others may have it.
func (r *Room) Gone(ids ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gone = append(r.gone, ids...)
	r.nudge()
}

func (r *Room) now() time.Duration { return time.Since(r.begun) }

func (r *Room) run(ctx context.Context) {
	defer close(r.ended)
	pace := lookEvery
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-time.After(pace):
		}
		begun := time.Now()
		if err := r.o.Still(); err != nil {
			if errors.Is(err, ledger.ErrTaken) {
				r.o.Taken(err)
				return
			}
			r.failed(err)
			continue
		}
		ledgers := r.look(ctx)
		r.count(func(s *Shown) { s.LookMs = time.Since(begun).Milliseconds() })
		pace = lookEvery + time.Duration(ledgers)*lookEach
	}
}

func (r *Room) count(do func(*Shown)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	do(&r.shown)
}

// failed counts a step that failed. ErrGone is none: another process was quicker.
func (r *Room) failed(err error) {
	if err == nil || errors.Is(err, decide.ErrGone) {
		return
	}
	r.count(func(s *Shown) { s.Failed++ })
	r.log.Error("the directory of the fleet's ledgers", "err", err)
}

// look does all that is due, and returns how many ledgers there are.
func (r *Room) look(ctx context.Context) int {
	r.tellOwner()
	r.drop()
	r.give()
	r.own()
	names, err := r.files.List(".")
	r.failed(err)
	names = slices.DeleteFunc(names, func(n string) bool { return strings.HasPrefix(n, ".") })
	others := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == r.o.Name })
	r.seal(others)
	sealed, err := decide.AllSealed(r.files)
	r.failed(err)
	sealed = r.inherit(sealed)
	busy := len(others)
	for _, s := range sealed {
		if s.Number != handed {
			busy++
		}
		if s.Taker == r.o.Name && ctx.Err() == nil {
			r.mine(s)
		}
	}
	r.find(busy, others, slices.ContainsFunc(sealed, func(s decide.Sealed) bool {
		_, opened, err := decide.Waiting(r.files, s)
		return err != nil || !opened
	}))
	r.pass()
	return len(names) + len(sealed)
}

// tellOwner writes as which member this process lives, for who would take its ledger while its lock is held.
func (r *Room) tellOwner() {
	if r.o.Certain == nil {
		return
	}
	life, ok := r.o.Certain()
	if !ok {
		r.certain = r.now()
	}
	if !ok || life == r.owner {
		return
	}
	r.certain = r.now()
	text, err := json.Marshal(life)
	at := filepath.Join(r.o.Name, OwnerName)
	if err == nil {
		err = errors.Join(r.files.Write(at+".new", text), r.files.Rename(at+".new", at))
	}
	if err != nil {
		r.failed(err)
		return
	}
	r.owner = life
}

// see looks at the ledger of another controller.
func (r *Room) see(name string) decide.Seen {
	s := decide.Seen{Name: name}
	var err error
	if s.Held, err = ledger.Held(filepath.Join(r.o.Ledgers, name)); err != nil {
		r.failed(err)
		s.Held = true // nothing is known of it
	}
	if s.Held {
		if text, err := r.files.Read(filepath.Join(name, OwnerName)); err == nil {
			_ = json.Unmarshal(text, &s.Owner) // one that is spoilt says nothing
		}
	}
	return s
}

// nobody is a fleet that knows of no end.
type nobody struct{}

func (nobody) HasEnded(string, decide.Life) bool { return false }

func (r *Room) fleet() decide.Fleet {
	// A store that was lost for long has ended everybody's lease: who is the first to be back must not take what the others are about to
	// come back for.
	if r.o.Fleet == nil || r.owner == (decide.Life{}) || r.now()-r.certain < settled*r.o.Lease {
		return nobody{}
	}
	return r.o.Fleet
}

// seal takes the ledgers of lost controllers.
func (r *Room) seal(others []string) {
	var seen []decide.Seen
	for _, name := range others {
		seen = append(seen, r.see(name))
	}
	for _, lost := range r.watch.Due(r.now(), seen, r.fleet()) {
		number := strconv.FormatInt(time.Now().UnixNano(), 16)
		if lost.Held {
			number += heldMark
		}
		begun := time.Now()
		s, err := decide.Seal(r.files, lost.Name, number, r.o.Name)
		if err != nil {
			r.failed(err)
			continue
		}
		r.count(func(s *Shown) { s.Sealed++ })
		r.lay(s, begun, "")
	}
}

// heldMark ends the number of a ledger whose owner may live.
const heldMark = "h"

// lay lays out the calls of a sealed ledger.
func (r *Room) lay(s decide.Sealed, begun time.Time, from string) {
	held := strings.HasSuffix(s.Number, heldMark)
	if err := decide.Open(r.files, s, r.read(held)); err != nil {
		r.failed(err)
		return
	}
	ids, _, err := decide.Waiting(r.files, s)
	r.failed(err)
	r.opened[s] = r.now()
	t := Told{begun, s.Name, held, len(ids), time.Since(begun).Milliseconds(), from}
	r.count(func(shown *Shown) { shown.Told = append(shown.Told[max(len(shown.Told)-maxTold+1, 0):], t) })
	r.log.Warn("the ledger of a lost controller is taken over", "lost", s.Name, "calls", len(ids), "owner_may_live", held, "took", time.Since(begun), "from", from)
}

// inherit takes the sealed ledgers of takers that are lost as well, and returns all as they are now.
func (r *Room) inherit(sealed []decide.Sealed) []decide.Sealed {
	var takers []string
	for _, s := range sealed {
		if s.Taker != r.o.Name && !slices.Contains(takers, s.Taker) {
			takers = append(takers, s.Taker)
		}
	}
	var seen []decide.Seen
	for _, taker := range takers {
		seen = append(seen, r.see(taker))
	}
	due := r.heirs.Due(r.now(), seen, r.fleet())
	for i, s := range sealed {
		if !slices.ContainsFunc(due, func(l decide.Seen) bool { return l.Name == s.Taker }) {
			continue
		}
		old := s
		if s.Number == handed { // one of a name is enough: it is the heir's like any other now
			s.Number = strconv.FormatInt(time.Now().UnixNano(), 16)
		}
		begun := time.Now()
		mine, err := decide.InheritAs(r.files, old, s.Number, r.o.Name)
		if err != nil {
			r.failed(err)
			continue
		}
		sealed[i] = mine
		r.lay(mine, begun, s.Taker)
	}
	return sealed
}

// mine goes on with a sealed ledger of this controller's.
func (r *Room) mine(s decide.Sealed) {
	ids, opened, err := decide.Waiting(r.files, s)
	if err != nil {
		r.failed(err)
		return
	}
	if !opened { // an earlier process of this name was lost in the middle
		r.lay(s, time.Now(), s.Taker)
		return
	}
	switch {
	case len(ids) == 0 && s.Number != handed:
		delete(r.opened, s)
		r.failed(decide.Finish(r.files, s))
		return
	case len(ids) == 0:
		delete(r.opened, s)
		return
	}
	if _, known := r.opened[s]; !known {
		r.opened[s] = r.now()
	}
	var taken []*Call
	for _, id := range decide.Leftovers(r.now(), r.opened[s], ids) {
		text, err := decide.Take(r.files, s, id, r.o.Name)
		if err != nil {
			r.failed(err)
			continue
		}
		if c := r.opens(id, text); c != nil {
			taken = append(taken, c)
		}
	}
	slices.SortFunc(taken, func(a, b *Call) int { return int(a.Events[0].DeadlineUs - b.Events[0].DeadlineUs) })
	r.count(func(s *Shown) { s.Left += uint64(len(taken)) })
	for _, c := range taken {
		r.arrive(c)
	}
}

// opens reads a call's file that is in the own in/ now. One that is spoilt is dropped: nothing of it can be trusted.
func (r *Room) opens(id string, text []byte) *Call {
	r.pending[id] = true
	c, err := decode(text, r.o.Key)
	if err == nil && c.ID() != id {
		err = errSpoilt
	}
	if err != nil {
		r.failed(fmt.Errorf("call %s: %w", id, err))
		r.failed(decide.Kept(r.files, id, r.o.Name))
		delete(r.pending, id)
		return nil
	}
	return c
}

// arrive gives a call to the core.
func (r *Room) arrive(c *Call) {
	over := -1
	at := filepath.Join(decide.EndsDir, c.ID())
	if text, err := r.files.Read(at); err == nil {
		if cause, err := strconv.Atoi(string(text)); err == nil {
			over = cause
			r.failed(r.files.Remove(at))
		}
	}
	r.o.Post(func() { r.core.Arrived(c, over) })
}

// own gives the core the calls that lie in the own in/ and that it has not been told of: of an earlier process of this name.
func (r *Room) own() {
	ids, err := decide.Taken(r.files, r.o.Name)
	r.failed(err)
	for _, id := range ids {
		if r.pending[id] {
			continue
		}
		text, err := r.files.Read(filepath.Join(decide.In(r.o.Name), id))
		if err != nil {
			r.failed(err)
			continue
		}
		if c := r.opens(id, text); c != nil {
			r.arrive(c)
		}
	}
}

// drop removes the files of calls that are in the own ledger by now.
func (r *Room) drop() {
	r.mu.Lock()
	kept := r.kept
	r.kept = nil
	r.mu.Unlock()
	for _, id := range kept {
		r.failed(decide.Kept(r.files, id, r.o.Name))
		delete(r.pending, id)
	}
}

// give writes the files of calls that are to be let go, and lays out those that were.
func (r *Room) give() {
	r.mu.Lock()
	gives, gone := r.gives, r.gone
	r.gives, r.gone = map[string][]byte{}, nil
	r.mu.Unlock()
	for id, text := range gives {
		r.pending[id] = true
		if err := r.files.Write(filepath.Join(decide.In(r.o.Name), id), text); err != nil {
			r.failed(err)
			continue
		}
		r.o.Post(func() { r.core.Given(id) })
	}
	for _, id := range gone {
		r.failed(decide.Hand(r.files, r.hand(), id))
		delete(r.pending, id)
	}
	r.count(func(s *Shown) { s.Given += uint64(len(gone)) })
}

// find looks for the calls that callers have come for.
func (r *Room) find(busy int, others []string, unopened bool) {
	r.mu.Lock()
	wants := maps.Clone(r.wants)
	r.shown.Waiting = len(wants)
	r.mu.Unlock()
	if len(wants) == 0 {
		return
	}
	looked := r.lookedAt(others)
	done := func(id string) {
		r.mu.Lock()
		delete(r.wants, id)
		r.mu.Unlock()
		if !r.asked[id].IsZero() {
			delete(r.asked, id)
			r.failed(r.files.Remove(filepath.Join(decide.WantedDir, id)))
		}
	}
	for id, want := range wants {
		text, _, err := decide.Find(r.files, id, r.o.Name)
		if err == nil {
			done(id)
			if c := r.opens(id, text); c != nil {
				r.count(func(s *Shown) { s.Found++ })
				r.arrive(c)
			}
			continue
		}
		r.failed(err)
		asked := r.asked[id]
		doubt := unopened || asked.IsZero() || len(others) > 0 && looked.Sub(asked) < decide.AskedWithin
		if answer := decide.Claim(r.now()-want.since, r.o.Lease, busy, doubt); answer != decide.Wait {
			done(id)
			r.count(func(s *Shown) { s.Unknown++ })
			r.o.Post(func() { r.core.Missing(id, answer == decide.UnknownCut) })
			continue
		}
		if asked.IsZero() { // whoever has it and lost its caller gives it
			at := filepath.Join(decide.WantedDir, id)
			r.failed(r.files.Write(at, []byte(hex.EncodeToString(want.token))))
			if info, err := r.files.root.Stat(at); err == nil {
				r.asked[id] = info.ModTime()
			}
		}
	}
}

// pass writes the ends that were told here and belong elsewhere, takes in those of others, and asks the core for what others want.
func (r *Room) pass() {
	r.mu.Lock()
	ends := r.ends
	r.ends = map[string]int{}
	r.shown.Ends += uint64(len(ends))
	r.mu.Unlock()
	for id, cause := range ends {
		at := filepath.Join(decide.EndsDir, id)
		if err := errors.Join(r.files.Write(at+".new", []byte(strconv.Itoa(cause))), r.files.Rename(at+".new", at)); err != nil {
			r.failed(err)
			continue
		}
		r.wrote[id] = r.now()
	}
	for id, at := range r.wrote {
		if r.now()-at > keepEnds {
			delete(r.wrote, id)
			r.failed(r.files.Remove(filepath.Join(decide.EndsDir, id)))
		}
	}
	told, err := r.files.List(decide.EndsDir)
	r.failed(err)
	all := map[string]int{}
	for _, id := range told {
		if text, err := r.files.Read(filepath.Join(decide.EndsDir, id)); err == nil && !strings.HasSuffix(id, ".new") {
			if cause, err := strconv.Atoi(string(text)); err == nil {
				all[id] = cause
			}
		}
	}
	if len(all) > 0 {
		r.o.Post(func() {
			if mine := r.core.Elsewhere(all); len(mine) > 0 {
				go func() {
					for _, id := range mine {
						_ = r.files.Remove(filepath.Join(decide.EndsDir, id)) // who wrote it removes it otherwise
					}
				}()
			}
		})
	}
	wanted, err := r.files.List(decide.WantedDir)
	r.failed(err)
	calls := map[string][]byte{}
	for _, id := range wanted {
		if !r.asked[id].IsZero() || r.pending[id] {
			continue
		}
		if text, err := r.files.Read(filepath.Join(decide.WantedDir, id)); err == nil {
			if token, err := hex.DecodeString(string(text)); err == nil && len(token) > 0 {
				calls[id] = token
			}
		}
	}
	if r.answered.Swap(false) {
		r.failed(r.files.Write(filepath.Join(r.o.Name, lookedName), []byte(r.o.Name)))
	}
	if len(wanted) > 0 {
		r.o.Post(func() {
			r.core.Wanted(calls)
			r.answered.Store(true) // by the loop: one that stands still has not looked
		})
	}
}

// Show tells what this controller has taken.
func (r *Room) Show() Shown {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.shown
	s.Told = append([]Told{}, s.Told...)
	return s
}

// Pages are what operators may ask for.
func (r *Room) Pages() map[string]func(url.Values) (any, error) {
	return map[string]func(url.Values) (any, error){Path: func(url.Values) (any, error) { return r.Show(), nil }}
}

// Figures are those for the telemetry.
func (r *Room) Figures() []*dto.MetricFamily {
	s := r.Show()
	return []*dto.MetricFamily{
		telemetry.Counter("takeover_ledgers_total", "Ledgers of lost controllers that this one took.", s.Sealed),
		telemetry.Counters("takeover_calls_total", "Calls that passed between controllers.", "how", map[string]uint64{"found": s.Found, "left": s.Left, "given": s.Given, "unknown": s.Unknown}),
		telemetry.Counter("takeover_ends_total", "Ends of calls that were told here and belonged elsewhere.", s.Ends),
		telemetry.Counter("takeover_failed_total", "Steps on the directory of ledgers that failed.", s.Failed),
		telemetry.Gauge("takeover_waiting", "Calls that are being looked for.", float64(s.Waiting)),
	}
}
