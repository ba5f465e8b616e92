package scale

import "fmt"

// place is the service that a controller or dispatcher belongs to, and the region, zone and rack in which it runs.
type place struct{ service, region, zone, rack string }

// allServices is the scope of a list that all controllers share.
const allServices = "all"

func (s *Scenario) hollowNames() []string  { return numbered("c", s.Controllers) }
func (s *Scenario) realNames() []string    { return numbered("real-", s.RealControllers) }
func (s *Scenario) serviceNames() []string { return numbered("s", s.Services) }
func (s *Scenario) regionNames() []string  { return numbered("r", s.Regions) }

// numbered returns names that consist of the prefix and a number from 1 to count.
func numbered(prefix string, count int) []string {
	names := make([]string, 0, count)
	for i := range count {
		names = append(names, fmt.Sprint(prefix, i+1))
	}
	return names
}

// scopes returns the parts of the list of dispatchers. Each has its own key prefix, and a controller watches one of them.
func (s *Scenario) scopes() []string {
	if s.ListByService {
		return s.serviceNames()
	}
	return []string{allServices}
}

// scope returns the part of the list that the controllers of a service watch.
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

// place returns the place of the hollow controller, real controller or dispatcher with index i. Services and zones are assigned round-robin.
func (s *Scenario) place(i int) place {
	zones := s.Regions * s.Zones
	zone := i % zones
	p := place{service: fmt.Sprint("s", i%s.Services+1), region: fmt.Sprint("r", zone/s.Zones+1)}
	p.zone = fmt.Sprint(p.region, "z", zone%s.Zones+1)
	p.rack = fmt.Sprint(p.zone, "k", i/zones/s.RackSize+1)
	return p
}

// racks returns the names of the racks that contain hollow controllers.
func (s *Scenario) racks() []string {
	var names []string
	listed := map[string]bool{}
	for i := range s.Controllers {
		if rack := s.place(i).rack; !listed[rack] {
			listed[rack] = true
			names = append(names, rack)
		}
	}
	return names
}

// affectedControllers returns the names of the hollow controllers that an event affects.
func (s *Scenario) affectedControllers(e Event) []string {
	var names []string
	for i, name := range s.hollowNames() {
		p := s.place(i)
		if e.Kind == StartAll || e.Kind == Settings || e.Kind == Restart && name == e.Target || e.Kind == Release && p.service == e.Target ||
			e.Kind == Rack && p.rack == e.Target || e.Kind == Zone && p.zone == e.Target || e.Kind == Region && p.region == e.Target {
			names = append(names, name)
		}
	}
	return names
}

// cutsOff reports whether an event cuts off the given place.
func (e Event) cutsOff(p place) bool {
	return e.Kind == Zone && p.zone == e.Target || e.Kind == Region && p.region == e.Target
}
