package main

import "testing"

// TestAnIDRunsOnceAtTheProcessesOfAnUpgrade guards against a set-up that runs twice because its id comes again at the other process of an
// upgrade.
func TestAnIDRunsOnceAtTheProcessesOfAnUpgrade(t *testing.T) {
	runUpgrade(t, []string{
		"d0: setup 1 x", "d0: release 1 16", "d0: setup 2 x", "d1: setup 3 x",
		"d0: release 2 16", "d1: setup 4 x",
		"caller: release 1 100", "caller: release 2 100", "caller: release 3 100", "caller: release 4 100", "caller: answer 3 y",
	}, func(old *fixture) {
		// The client of the first call leaves before the upgrade, and that of the second one during it. The third call stays at the old process.
		before, during, stays := old.newCaller(), old.newCaller(), old.newCaller()
		old.must(before.SetUp(id(1), longTimeout, 0, "x"))
		old.recordEvent(0)
		old.must(before.Close())
		old.recordEvent(0)
		old.must(during.SetUp(id(2), longTimeout, 0, "x"))
		old.recordEvent(0)
		old.must(stays.SetUp(id(3), longTimeout, 1, "x"))
		open := old.recordEvent(1)
		next := old.startSuccessor()
		next.sendList()
		next.waitReady()
		c := next.newCaller()
		old.must(during.Close())
		old.recordEvent(0)
		old.must(c.SetUp(id(4), longTimeout, 1, "x"))
		old.recordEvent(1)
		for number := 1; number <= 3; number++ { // to the new process, which has not seen them
			old.must(c.SetUp(id(number), longTimeout, 1, "x"))
			old.recordMessage(c)
		}
		old.must(stays.SetUp(id(4), longTimeout, 1, "x")) // to the old process
		old.recordMessage(stays)
		old.must(open.Answer("y"))
		old.recordMessage(stays)
	})
}
