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

// relayCommand runs the plain relay that calls are held against, as a process of its own.
func relayCommand() *cobra.Command {
	var target string
	c := &cobra.Command{
		Use: "relay", Short: "Run the plain relay that calls are measured against", Args: cobra.NoArgs, Hidden: true,
		RunE: func(c *cobra.Command, _ []string) error { return relay(c.Context(), c.OutOrStdout(), target) },
	}
	c.Flags().StringVar(&target, "to", "", "where it passes everything on to")
	return c
}

// relay passes the bytes of each connection on to a target and back, until the context ends. It says where it listens.
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
			return nil //nolint:nilerr // it is told to end
		}
		remote, err := net.Dial("tcp", target)
		if err != nil {
			return fmt.Errorf("capacity: relay: %w", err)
		}
		go forward(caller, remote)
		go forward(remote, caller)
	}
}

// forward copies what comes from one connection to another until one of them ends. It reads and writes, as a program that looks at what
// passes has to; io.Copy would leave the copying to the kernel.
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

// startEchoServer is a server that answers every set-up that comes as a JSON line, as a dispatcher would. It tells when the kernel took each in.
func startEchoServer(arrived func(id string, at time.Time)) (net.Listener, error) {
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
			go answerSetUps(c, arrived)
		}
	}()
	return ln, nil
}

func answerSetUps(c net.Conn, arrived func(id string, at time.Time)) {
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
			arrived(m.ID, at)
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

// startRelay starts the relay as a process, and returns where it listens.
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
