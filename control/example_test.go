package control_test

import (
	"fmt"
	"time"

	"cherryrelay/control"
)

// A node takes a call, sends it where the controller says, and tells it that the call stands.
func ExampleController() {
	c, err := control.New(control.Settings{
		Classes: []control.Class{{Name: "voice", Aim: time.Second, Deadline: 8 * time.Second, Worth: 1}},
		Nodes:   2,
		OwnCell: -1,
		Tick:    5 * time.Millisecond,
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	turn := func(now time.Duration, events ...control.Event) {
		for _, action := range c.Step(now, events) {
			if a, ok := action.(control.SetUp); ok {
				fmt.Println("set up", a.ID, "at", a.Server)
			}
		}
	}
	turn(0, control.ListReceived{Whole: true, Entries: []control.ServerEntry{
		{ID: "core-1", Cell: 1, Status: control.Active},
		{ID: "core-2", Cell: 2, Status: control.Active},
	}})
	turn(time.Second, control.CallOffered{ID: "call-1", Budget: 3 * time.Second, FirstCell: 2})
	turn(1100*time.Millisecond, control.CallStands{ID: "call-1", Server: "core-2", Elapsed: 100 * time.Millisecond})
	// Output: set up call-1 at core-2
}
