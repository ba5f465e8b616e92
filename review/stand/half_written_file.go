package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

func init() { cases["9"] = playHalfWrittenFile }

// bufferSize is the size of the writer's buffer: it writes the file in pieces of this many bytes.
const bufferSize = 4096

// threePorts returns the addresses of one dispatcher in two versions of a file, and the address that consists of the beginning of the second
// version's and the end of the first one's. cut is the number of bytes before the seam.
func threePorts() (before, after, mixed string, cut int, err error) {
	free := func(port int) bool {
		ln, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
		if err != nil {
			return false
		}
		return ln.Close() == nil
	}
	for port := 21017; port < 29000; port += 111 {
		old, next := port+2000, port+11 // they differ from the mixed one in the first digits, and in the last
		if (old/100)%10 != (port/100)%10 || port%100 > 80 || old%100 != port%100 || !free(port) || !free(old) || !free(next) {
			continue
		}
		text := func(p int) string { return "127.0.0.1:" + strconv.Itoa(p) }
		cut = len("127.0.0.1:") + 3
		before, after, mixed = text(old), text(next), text(port)
		if after[:cut]+before[cut:] == mixed && mixed != before && mixed != after {
			return before, after, mixed, cut, nil
		}
	}
	return "", "", "", 0, errors.New("no free ports of the wanted form")
}

// poolFile returns a pool file of two dispatchers. The seam of the first address, cut bytes after its beginning, is at bufferSize.
func poolFile(version int, first, second string, cut int) string {
	head := fmt.Sprintf("[pool]\nformat = 1\nversion = day-%d\nservers = 2\n\n", version)
	middle := "[server s-1]\naddress = "
	pad := bufferSize - cut - len(head) - len(middle)
	comment := strings.Builder{}
	for pad-comment.Len() > 120 {
		comment.WriteString("; this file is written by the site's own tool; do not edit it by hand, ask the desk\n")
	}
	comment.WriteString(";" + strings.Repeat("-", pad-comment.Len()-2) + "\n")
	return head + comment.String() + middle + first + "\ngroup = 0\nweight = 1\n\n[server s-2]\naddress = " + second + "\ngroup = 1\nweight = 1\n\n[end]\n"
}

// playHalfWrittenFile has a tool write a new version of the pool file over the old one, in place, and stall in the middle.
func playHalfWrittenFile(s *stage) error {
	const delay, hold = 30 * time.Millisecond, 8 * time.Second
	oldAddress, newAddress, mixed, cut, err := threePorts()
	if err != nil {
		return err
	}
	var dispatchers []*dispatcher
	for _, d := range []struct{ name, address string }{{"s-1 of the old version", oldAddress}, {"s-1 of the new version", newAddress},
		{"s-2", "127.0.0.1:0"}, {"a server of no version", mixed}} {
		at, err := startDispatcher(s.record, d.name, d.address, delay, hold)
		if err != nil {
			return err
		}
		s.atEnd(at.close)
		dispatchers = append(dispatchers, at)
	}
	stranger := dispatchers[3]
	p, err := newPlace(s.root, s.dir, "n1")
	if err != nil {
		return err
	}
	path := filepath.Join(p.dir, "pool.ini")
	before, after := poolFile(1, oldAddress, dispatchers[2].address, cut), poolFile(2, newAddress, dispatchers[2].address, cut)
	if len(before) != len(after) {
		return errors.New("the versions differ in length")
	}
	if err := os.WriteFile(path, []byte(before), 0o600); err != nil {
		return err
	}
	s.say("version day-1: s-1 at %s; version day-2: s-1 at %s; in neither: %s", oldAddress, newAddress, mixed)
	if err := p.writeOperator("[pool]\nfile = pool.ini\n"); err != nil {
		return err
	}
	if err := p.writeConfig("", nil, smallSettings(1)); err != nil {
		return err
	}
	c, err := p.start(s.record, "n1")
	if err != nil {
		return err
	}
	s.atEnd(c.stop)
	if err := p.waitReady(30 * time.Second); err != nil {
		return err
	}
	d := &desk{s: s, name: "caller", at: p, calls: map[string]*callState{}}
	serve := func(period time.Duration) {
		for until := time.Now().Add(period); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
			if _, err := d.place(0); err != nil {
				s.say("caller: %v", err)
			}
		}
	}
	serve(3 * time.Second)
	f, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	if s.trouble {
		s.say("the tool writes the first %d bytes of version day-2, and stalls", bufferSize)
		_, err = f.WriteAt([]byte(after[:bufferSize]), 0)
		serve(2 * time.Second)
		s.say("the tool writes the rest")
		if err == nil {
			_, err = f.WriteAt([]byte(after[bufferSize:]), bufferSize)
		}
	} else {
		s.say("the tool writes version day-2, at once")
		_, err = f.WriteAt([]byte(after), 0)
	}
	if err := errors.Join(err, f.Close()); err != nil {
		return err
	}
	serve(4 * time.Second)
	time.Sleep(time.Second)
	for _, at := range dispatchers {
		at.mu.Lock()
		s.say("%s (%s): %d set-ups", at.name, at.address, at.setUps)
		at.mu.Unlock()
	}
	stranger.mu.Lock()
	defer stranger.mu.Unlock()
	if stranger.setUps > 0 {
		s.broken("%d set-ups went to %s, which no version of the file names", stranger.setUps, mixed)
	}
	return nil
}
