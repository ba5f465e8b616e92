// Command simhost runs the decision module for the simulator. It reads batches of events from standard
// input and writes one reply per batch to standard output.
package main

import (
	"fmt"
	"os"

	"cherryrelay/internal/wire"
)

func main() {
	if err := wire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
