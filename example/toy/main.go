// Command toy runs a dispatcher or a caller to try out a call controller by hand:
//
//	toy dispatch ADDRESS [ws]        answers every set-up and releases the call two seconds later
//	toy call ADDRESS [ws] [COUNT]    places calls, one every half second, and prints the messages it receives
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"time"

	"cherryrelay/internal/peer"
)

func main() {
	args := os.Args[1:]
	transport := "tcp"
	if i := slices.Index(args, "ws"); i >= 0 {
		transport, args = "ws", slices.Delete(args, i, i+1)
	}
	var err error
	switch {
	case len(args) == 2 && args[0] == "dispatch":
		err = dispatch(transport, args[1])
	case len(args) == 2 && args[0] == "call":
		err = placeCalls(transport, args[1], 5)
	case len(args) == 3 && args[0] == "call":
		var count int
		if count, err = strconv.Atoi(args[2]); err == nil {
			err = placeCalls(transport, args[1], count)
		}
	default:
		err = fmt.Errorf("usage: toy dispatch ADDRESS [ws] | toy call ADDRESS [ws] [COUNT]")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "toy:", err)
		os.Exit(1)
	}
}

// dispatch runs a dispatcher that answers every set-up.
func dispatch(transport, address string) error {
	d, err := peer.StartDispatcher(transport, address, "x0:100;x1:100")
	if err != nil {
		return err
	}
	fmt.Println("dispatching at", d.Address())
	go func() {
		for range d.Acks {
		}
	}()
	for e := range d.Events {
		fmt.Println(e.Kind, e.ID, e.Key, e.Left)
		if e.Kind != "setup" {
			continue
		}
		if err := e.Answer("toy says hello"); err != nil {
			fmt.Println("answering:", err)
			continue
		}
		time.AfterFunc(2*time.Second, func() {
			if err := d.Release(e.ID, 16); err != nil {
				fmt.Println("releasing:", err)
			}
		})
	}
	return nil
}

// placeCalls places calls and waits until all of them are released.
func placeCalls(transport, address string, count int) error {
	c, err := peer.DialCaller(transport, address)
	if err != nil {
		return err
	}
	go func() {
		for i := range count {
			id := fmt.Sprintf("%016x", rand.Uint64())
			if err := c.SetUp(id, 3*time.Second, i%2, "toy calls"); err != nil {
				fmt.Println("calling:", err)
				return
			}
			fmt.Println("setup", id)
			time.Sleep(500 * time.Millisecond)
		}
	}()
	for released := 0; released < count; {
		m, err := c.Next()
		if err != nil {
			return err
		}
		fmt.Println(m.Type, m.ID, m.Description(), m.CauseOr(0), m.Fields)
		if m.Type == "release" {
			released++
		}
	}
	return c.Close()
}
