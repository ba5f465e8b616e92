package pool

import (
	"fmt"
	"slices"
	"testing"

	"cherryrelay/control"
)

// largeSet returns a set of n servers, one of which has the given weight.
func largeSet(n, weight int) Candidate {
	c := Candidate{Source: FromFile, Digest: fmt.Sprint(weight), Update: Update{Complete: true}}
	for i := range n {
		c.Servers = append(c.Servers, Member{Address: fmt.Sprintf("127.0.%d.%d:7000", i/250, i%250), ServerEntry: control.ServerEntry{
			ID: control.ServerID(fmt.Sprint("s-", i)), Cell: i % 4, Weight: 100}})
	}
	c.Servers[n/2].Weight = weight
	return c
}

// applyWithoutIndex is the baseline without an index: names are searched in a list, and every server of the new set is
// published again.
func applyWithoutIndex(active []Member, c *Candidate) (next, published []Member, duplicate bool) {
	for i, m := range c.Servers {
		for _, o := range c.Servers[:i] {
			duplicate = duplicate || o.ID == m.ID || o.Address == m.Address
		}
		published = append(published, m)
	}
	for _, m := range active {
		if !slices.ContainsFunc(c.Servers, func(o Member) bool { return o.ID == m.ID }) {
			m.Status = control.Removed
			published = append(published, m)
		}
	}
	return c.Servers, published, duplicate
}

// BenchmarkApply checks a set in which one weight changes and makes it active.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{10, 1000, 10_000} {
		sets := [2]Candidate{largeSet(n, 1), largeSet(n, 2)}
		b.Run(fmt.Sprint("pool/", n), func(b *testing.B) {
			p := New()
			p.Apply(clock, sets[1])
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if v := p.Apply(clock, sets[i%2]); !v.Accepted || len(v.Update.Servers) != 1 {
					b.Fatal(v.Faults, len(v.Update.Servers))
				}
			}
		})
		b.Run(fmt.Sprint("plain/", n), func(b *testing.B) {
			active, published, duplicate := applyWithoutIndex(nil, &sets[1])
			if duplicate || len(published) != n {
				b.Fatal(duplicate, len(published))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if active, published, duplicate = applyWithoutIndex(active, &sets[i%2]); duplicate || len(published) != n {
					b.Fatal(duplicate, len(published))
				}
			}
		})
	}
}
