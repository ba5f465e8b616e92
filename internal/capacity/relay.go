package capacity

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/ring"
)

// relayCommand returns the command that runs the plain relay, the baseline for calls, as a separate process.
func relayCommand() *cobra.Command {
	var target string
	c := &cobra.Command{
		Use: "relay", Short: "Run the plain relay that calls are measured against", Args: cobra.NoArgs, Hidden: true,
		RunE: func(c *cobra.Command, _ []string) error { return relay(c.Context(), c.OutOrStdout(), target) },
	}
	c.Flags().StringVar(&target, "to", "", "address to forward all connections to")
	return c
}

// relay forwards the bytes of each connection to a target and back until the context ends. It writes its listen address to out.
func relay(ctx context.Context, out io.Writer, target string) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("capacity: relay: %w", err)
	}
	context.AfterFunc(ctx, func() { _ = ln.Close() })
	fmt.Fprintln(out, ln.Addr())
	for {
		caller, err := ln.Accept()
		if err != nil {
			return nil //nolint:nilerr // the context has ended
		}
		remote, err := net.Dial("tcp", target)
		if err != nil {
			return fmt.Errorf("capacity: relay: %w", err)
		}
		go forward(caller, remote)
		go forward(remote, caller)
	}
}

// forward copies bytes from one connection to another until one of them is closed. It reads and writes, as a program that inspects the
// data must; io.Copy would leave the copying to the kernel.
func forward(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	chunk := make([]byte, 16<<10)
	for {
		n, err := from.Read(chunk)
		if err != nil {
			return
		}
		if _, err := to.Write(chunk[:n]); err != nil {
			return
		}
	}
}

// startEchoServer starts a server that answers every set-up in a JSON line, in place of a dispatcher. It calls onSetUp with the time at
// which the kernel received each set-up.
func startEchoServer(onSetUp func(id string, at time.Time)) (net.Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("capacity: echo: %w", err)
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return // closed
			}
			go answerSetUps(c, onSetUp)
		}
	}()
	return ln, nil
}

// answerSetUps answers the set-ups on a connection until it is closed.
func answerSetUps(c net.Conn, onSetUp func(id string, at time.Time)) {
	defer c.Close()
	r, err := newStampedReader(c)
	if err != nil {
		return
	}
	in, chunk := ring.New(connBuffer), make([]byte, connBuffer/2)
	var decoder jsonl.Decoder
	for {
		n, at, err := r.read(chunk[:min(len(chunk), in.Free())])
		if err != nil {
			return
		}
		in.Write(chunk[:n])
		for {
			m, err := decoder.Next(in)
			if err != nil {
				return
			}
			if m == nil {
				break
			}
			if m.Type != "setup" {
				continue
			}
			onSetUp(m.ID, at)
			text, err := jsonl.Append(nil, jsonl.Message{Type: "answer", ID: m.ID, SDP: m.SDP})
			if err != nil {
				return
			}
			if _, err := c.Write(append(text, '\n')); err != nil {
				return
			}
		}
	}
}

// startRelay starts the relay as a process, and returns its listen address.
func (b *bench) startRelay(ctx context.Context, target string) (p *process, address string, err error) {
	read, write := io.Pipe()
	own, err := ownProgram()
	if err != nil {
		return nil, "", err
	}
	if p, err = b.startProcessTo(ctx, write, nil, own, "capacity", "relay", "--to", target); err != nil {
		return nil, "", err
	}
	line, err := bufio.NewReader(read).ReadString('\n')
	if err != nil {
		p.stop()
		return nil, "", fmt.Errorf("capacity: relay: %w", err)
	}
	return p, strings.TrimSpace(line), nil
}
