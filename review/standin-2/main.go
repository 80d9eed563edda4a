// Command standin2 plays the cases of the second review: it is the store, the servers and the clients of a small deployment whose
// processes run.sh starts.
package main

import (
	"fmt"
	"os"
)

var scenarios = map[string]func(s *site) bool{}

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 SCENARIO DIR RECORD")
		os.Exit(2)
	}
	s := newSite(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	isBroken := scenarios[os.Args[1]](s)
	if isBroken {
		s.note("the rule is broken")
		os.Exit(1)
	}
	s.note("the rule is kept")
}
