// Program standin plays the platform, the servers and the clients of a small deployment around processes of the program.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

var cases = map[string]func(directory, record string, trouble bool) bool{
	"memory":  memoryCase,
	"foreign": foreignCase,
	"full":    fullCase,
	"encoded": encodedCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(2)
	}
	directory, err := os.MkdirTemp("", "case")
	if err != nil {
		fatal("folder: %v", err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() { fatal("ended by a signal: %v", <-signals) }()
	time.AfterFunc(115*time.Second, func() { fatal("no end after 115 s") })
	held := cases[os.Args[1]](directory, filepath.Join(os.Args[2], "record.txt"), os.Getenv("TROUBLE") != "0")
	current.logRuns()
	current.stop()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.Rename(directory, keep)
	}
	_ = os.RemoveAll(directory)
	if held {
		fmt.Println("held")
		return
	}
	fmt.Println("broken")
	os.Exit(1)
}
