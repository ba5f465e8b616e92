package call

import (
	"slices"
	"time"

	"cherryrelay/control"
)

// This file releases calls whose dispatcher is not known. It may be one that the list, which may be older than the call, does not name yet.

const (
	// maxUnplacedReleases bounds the releases that are kept for such dispatchers, as any caller can send any number of them.
	maxUnplacedReleases = 1024
	// unplacedReleasePeriod is how long a release is kept if the source of the list confirms nothing.
	unplacedReleasePeriod = 20 * time.Second
)

// unplacedRelease is the release of a call whose dispatcher is not known.
type unplacedRelease struct {
	id       string
	cause    int
	at       time.Duration
	attempts int // of the call by then
}

// releaseEverywhere releases a call at all dispatchers, and at those that the list comes to name before it is confirmed.
func (c *Core) releaseEverywhere(id string, cause int) {
	c.dispatchers.Release("", id, cause)
	now := c.now()
	if c.listConfirmedAt >= now {
		return
	}
	c.dropUnplacedReleases(now)
	if len(c.unplacedReleases) == maxUnplacedReleases {
		c.unplacedReleases = slices.Delete(c.unplacedReleases, 0, 1)
	}
	r := unplacedRelease{id: id, cause: cause, at: now}
	if k := c.calls[id]; k != nil {
		r.attempts = k.attempts
	}
	c.unplacedReleases = append(c.unplacedReleases, r)
}

// dropUnplacedReleases drops the releases that no dispatcher can need any more: the list contains all that were listed by then.
func (c *Core) dropUnplacedReleases(now time.Duration) {
	c.unplacedReleases = slices.DeleteFunc(c.unplacedReleases, func(r unplacedRelease) bool {
		return r.at <= c.listConfirmedAt || now-r.at > unplacedReleasePeriod
	})
}

// sendUnplacedReleases releases calls at dispatchers that the list has come to name, unless the call is established or has been attempted
// since: the release would end that attempt.
func (c *Core) sendUnplacedReleases(added []control.ServerID) {
	if len(added) == 0 || len(c.unplacedReleases) == 0 {
		return
	}
	c.dropUnplacedReleases(c.now())
	for _, r := range c.unplacedReleases {
		k := c.calls[r.id]
		if k != nil && k.state != terminated && (k.state == established || k.attempts > r.attempts) {
			continue
		}
		for _, id := range added {
			c.dispatchers.Release(id, r.id, r.cause)
		}
	}
}
