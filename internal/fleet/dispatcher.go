package fleet

import (
	"fmt"
	"time"

	"cherryrelay/control"
)

// serverID returns the name of the dispatcher at position i in its given incarnation.
func serverID(i, incarnation int) control.ServerID {
	return control.ServerID(fmt.Sprintf("d%d.%d", i, incarnation))
}

// dispatcher models a dispatcher whose processor handles one work item at a time. Set-ups go before answers, refusals and releases.
type dispatcher struct {
	sim          *simulation
	index        int
	incarnation  int
	id           control.ServerID
	coldFrom     time.Duration // when the warm-up began
	warmAt       time.Duration // when the warm-up ends
	slowdown     float64       // factor on processing times; 0 for none
	draining     bool
	down         bool // whether it failed under overload while cold
	setUpQueue   []work
	otherQueue   []work        // answers, refusals and releases
	working      bool          // whether a work item is being processed
	busyTime     time.Duration // processing time since the last sample
	recentSetUps float64       // set-ups of about the last second, with linear decay
	overloadTime time.Duration // how long the overload of the cold processor has lasted
	inUse        int           // lines in use, including those of calls being set up
	lastSetUpAt  time.Duration
}

// work is a work item of the processor. Its cost is a fraction of the work of a whole call.
type work struct {
	cost   float64
	onDone func()
}

// serverID returns the name of the dispatcher, or the empty name if there is no dispatcher.
func (d *dispatcher) serverID() control.ServerID {
	if d == nil {
		return ""
	}
	return d.id
}

// entry returns the list entry of the dispatcher. Only a replacement has a start time.
func (d *dispatcher) entry() control.ServerEntry {
	e := control.ServerEntry{ID: d.id, Cell: d.index, Zone: "z"}
	if d.incarnation > 0 {
		e.StartedAt = clockStart + d.coldFrom
	}
	return e
}

// speed returns the present speed of the processor as a fraction of that of a warm one.
func (d *dispatcher) speed() float64 {
	speed := 1.0
	if d.sim.now < d.warmAt {
		share := d.sim.Settings.ColdCapacity
		speed = share + (1-share)*float64(d.sim.now-d.coldFrom)/float64(d.sim.Settings.WarmUpTime)
	}
	if d.slowdown > 0 {
		speed /= d.slowdown
	}
	return speed
}

// processingTime returns how long work of the given cost takes at the present speed.
func (d *dispatcher) processingTime(cost float64) time.Duration {
	return time.Duration(cost / (d.sim.Rate * d.speed()) * float64(time.Second))
}

// queueWait returns how long a set-up that arrived now would wait in the queue.
func (d *dispatcher) queueWait() time.Duration {
	cost := 0.0
	for _, item := range d.setUpQueue {
		cost += item.cost
	}
	return d.processingTime(cost)
}

// acceptSetUp handles an arriving set-up. It refuses the set-up if no line is free or the queue is too long.
func (d *dispatcher) acceptSetUp(att *attempt) {
	if d.down || d.draining {
		d.sim.schedule(networkDelay, func() { att.controller.endAttempt(att, control.Unreachable, false) })
		return
	}
	d.recordSetUp()
	if d.sim.Lines > 0 && d.inUse >= d.sim.Lines {
		d.enqueue(work{cost: refusalCost, onDone: func() {
			d.sim.schedule(networkDelay, func() { att.controller.endAttempt(att, control.Full, true) })
		}})
		return
	}
	if d.queueWait() > maxQueueWait {
		d.enqueue(work{cost: refusalCost, onDone: func() {
			d.sim.schedule(networkDelay, func() { att.controller.endAttempt(att, control.Full, false) })
		}})
		return
	}
	d.inUse++
	d.enqueueSetUp(work{cost: setUpCost, onDone: func() {
		d.enqueue(work{cost: answerCost, onDone: func() {
			if att.cancelled {
				d.inUse-- // the controller has cancelled the attempt
			}
			att.answered = true
			d.sim.schedule(networkDelay, func() { att.controller.handleAnswer(att) })
		}})
	}})
	d.scheduleRepeat(att, firstRepeatDelay)
}

// scheduleRepeat schedules the repetition of an unanswered set-up. Each repetition is work that goes before answers.
func (d *dispatcher) scheduleRepeat(att *attempt, gap time.Duration) {
	d.sim.schedule(gap, func() {
		if att.answered || att.cancelled || d.down {
			return
		}
		d.enqueueSetUp(work{cost: repeatCost, onDone: func() {}})
		d.scheduleRepeat(att, 2*gap)
	})
}

// recordSetUp updates the rate of set-ups. A cold processor fails if the rate exceeds its overload limit for longer than maxOverloadTime.
func (d *dispatcher) recordSetUp() {
	since := d.sim.now - d.lastSetUpAt
	d.lastSetUpAt = d.sim.now
	d.recentSetUps = d.recentSetUps*max(0, 1-since.Seconds()) + 1
	if d.sim.now >= d.warmAt || d.recentSetUps <= d.sim.Settings.ColdOverloadFactor*d.sim.Rate*d.speed() {
		d.overloadTime = 0
		return
	}
	if d.overloadTime += min(since, 100*time.Millisecond); d.overloadTime > maxOverloadTime {
		d.down = true
		d.sim.result.OverloadedCold++
	}
}

// enqueueSetUp queues the work for a set-up.
func (d *dispatcher) enqueueSetUp(item work) {
	d.setUpQueue = append(d.setUpQueue, item)
	d.startNext()
}

// enqueue queues work that comes after set-ups.
func (d *dispatcher) enqueue(item work) {
	d.otherQueue = append(d.otherQueue, item)
	d.startNext()
}

// startNext starts the next work item if the processor is free.
func (d *dispatcher) startNext() {
	if d.working || d.down {
		return
	}
	var item work
	switch {
	case len(d.setUpQueue) > 0:
		item, d.setUpQueue = d.setUpQueue[0], d.setUpQueue[1:]
	case len(d.otherQueue) > 0:
		item, d.otherQueue = d.otherQueue[0], d.otherQueue[1:]
	default:
		return
	}
	d.working = true
	duration := d.processingTime(item.cost)
	d.busyTime += duration
	d.sim.schedule(duration, func() {
		d.working = false
		item.onDone()
		d.startNext()
	})
}
