package control

import (
	"cmp"
	"maps"
	"slices"
)

// This file selects the server for a call.

// permitted reports whether the class of the call and the layout permit it to go to the server.
func (c *Controller) permitted(k *call, s *server) bool {
	class := k.class
	if s.Status != Active || len(class.Cells) > 0 && !slices.Contains(class.Cells, s.Cell) {
		return false
	}
	if c.settings.Layout == Network && (s.Cell == c.settings.OwnCell || k.transit && s.Cell != k.firstCell) {
		return false
	}
	return k.ranOn == nil || class.mayResendTo(s, k.ranOn, c.now-k.ranSentAt)
}

// selectServer picks a server whose window allows the call, or returns nil if the call has to wait. Servers
// of first choice come first, and share calls by weight. Overflow is shared by weight if any server has one.
// If not, a class stays with its last server while no set-up waits there, and then moves to a random one.
func (c *Controller) selectServer(k *call) *server {
	var allowed, firstChoice []*server
	isFirstChoice := func(s *server) bool { return s.Cell == k.firstCell && c.permitted(k, s) }
	noFirstChoice := !slices.ContainsFunc(c.servers, isFirstChoice) // then all servers are equal
	for _, s := range c.servers {
		if c.permitted(k, s) && c.allows(s, noFirstChoice || s.Cell == k.firstCell) {
			if s.Cell == k.firstCell {
				firstChoice = append(firstChoice, s)
			}
			allowed = append(allowed, s)
		}
	}
	switch {
	case len(allowed) == 0:
		return nil
	case len(firstChoice) > 0:
		return pickByWeight(firstChoice)
	case slices.ContainsFunc(allowed, func(s *server) bool { return s.Weight > 0 }):
		return pickByWeight(allowed)
	}
	if last := c.lastByClass[k.class.Name]; !slices.Contains(allowed, last) || len(last.inProgress) > 0 {
		c.lastByClass[k.class.Name] = c.pickRandom(allowed)
	}
	return c.lastByClass[k.class.Name]
}

// hasLineShare reports whether the server was recently out of lines and this node uses its share of them.
func (c *Controller) hasLineShare(s *server) bool {
	return s.noLineAt > 0 && c.now-s.noLineAt < maxReportedBackOff &&
		s.ownLines*max(c.settings.Nodes, 1) >= int(s.lines)
}

// pickRandom picks a server at random, in proportion to the rate of each.
func (c *Controller) pickRandom(candidates []*server) *server {
	picked, total := candidates[0], 0.0
	for _, s := range candidates {
		rate := cmp.Or(c.capacityRate(s), s.lines)
		if total += rate; c.rng.Float64()*total < rate {
			picked = s
		}
	}
	return picked
}

// pickByWeight picks by smooth weighted round-robin; without weights, it picks the first.
func pickByWeight(candidates []*server) *server {
	next, total := candidates[0], 0.0
	for _, s := range candidates {
		s.currentWeight += float64(s.Weight)
		total += float64(s.Weight)
		if s.currentWeight > next.currentWeight {
			next = s
		}
	}
	next.currentWeight -= total
	return next
}

// clearLastServer makes the classes that stay with the server select another one.
func (c *Controller) clearLastServer(s *server) {
	maps.DeleteFunc(c.lastByClass, func(_ string, last *server) bool { return last == s })
}
