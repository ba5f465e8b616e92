package scale

import "fmt"

// place is where a controller or dispatcher runs, and what it belongs to.
type place struct{ service, region, zone, rack string }

// allServices is the scope of a list that every controller follows.
const allServices = "all"

func (s *Scenario) names() []string        { return numbered("c", s.Controllers) }
func (s *Scenario) realNames() []string    { return numbered("real-", s.Real) }
func (s *Scenario) serviceNames() []string { return numbered("s", s.Services) }
func (s *Scenario) regionNames() []string  { return numbered("r", s.Regions) }

func numbered(prefix string, count int) []string {
	names := make([]string, 0, count)
	for i := range count {
		names = append(names, fmt.Sprint(prefix, i+1))
	}
	return names
}

// scopes are the parts that the list falls into: each is followed by itself.
func (s *Scenario) scopes() []string {
	if s.ListByService {
		return s.serviceNames()
	}
	return []string{allServices}
}

// scope is the part of the list that a controller of a service follows.
func (s *Scenario) scope(service string) string {
	if s.ListByService {
		return service
	}
	return allServices
}

func (s *Scenario) zoneNames() []string {
	var names []string
	for _, region := range s.regionNames() {
		names = append(names, numbered(region+"z", s.Zones)...)
	}
	return names
}

// place is where number i of the hollow controllers, of the real ones or of the dispatchers is: turn about over services and over zones.
func (s *Scenario) place(i int) place {
	zones := s.Regions * s.Zones
	zone := i % zones
	p := place{service: fmt.Sprint("s", i%s.Services+1), region: fmt.Sprint("r", zone/s.Zones+1)}
	p.zone = fmt.Sprint(p.region, "z", zone%s.Zones+1)
	p.rack = fmt.Sprint(p.zone, "k", i/zones/s.RackSize+1)
	return p
}

// racks are those that have hollow controllers.
func (s *Scenario) racks() []string {
	var names []string
	seen := map[string]bool{}
	for i := range s.Controllers {
		if rack := s.place(i).rack; !seen[rack] {
			seen[rack] = true
			names = append(names, rack)
		}
	}
	return names
}

// within are the hollow controllers whose place an event is done to.
func (s *Scenario) within(e Event) []string {
	var names []string
	for i, name := range s.names() {
		p := s.place(i)
		if e.Do == StartAll || e.Do == Settings || e.Do == Restart && name == e.Who || e.Do == Release && p.service == e.Who || e.Do == Rack && p.rack == e.Who ||
			e.Do == Zone && p.zone == e.Who || e.Do == Region && p.region == e.Who {
			names = append(names, name)
		}
	}
	return names
}

// cut reports whether an event cuts off what is at a place.
func (e Event) cut(p place) bool {
	return e.Do == Zone && p.zone == e.Who || e.Do == Region && p.region == e.Who
}
