package control_test

import (
	"fmt"
	"time"

	"cherryrelay/control"
)

// An access node offers a call, carries out the set-up that the controller returns, and reports the answer.
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
	step := func(now time.Duration, events ...control.Event) {
		for _, action := range c.Step(now, events) {
			if a, ok := action.(control.SetUp); ok {
				fmt.Println("set up", a.ID, "at", a.Server)
			}
		}
	}
	step(0, control.ListReceived{Whole: true, Entries: []control.ServerEntry{
		{ID: "core-1", Cell: 1, Status: control.Active},
		{ID: "core-2", Cell: 2, Status: control.Active},
	}})
	step(time.Second, control.CallOffered{ID: "call-1", Budget: 3 * time.Second, FirstCell: 2})
	step(1100*time.Millisecond, control.CallStands{ID: "call-1", Server: "core-2", Elapsed: 100 * time.Millisecond})
	// Output: set up call-1 at core-2
}
