// Command stand-3 plays clients, replicas and the platform's store for the cases of this review.
package main

import (
	"fmt"
	"os"
)

func main() {
	var err error
	switch {
	case len(os.Args) == 4 && os.Args[1] == "replica":
		err = runReplica(os.Args[2], os.Args[3], work)
	case len(os.Args) == 4 && os.Args[1] == "stream-replica":
		err = runStreamReplica(os.Args[2], os.Args[3])
	case len(os.Args) == 4 && os.Args[1] == "grace":
		os.Exit(runGrace(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
	case len(os.Args) == 4 && os.Args[1] == "early":
		os.Exit(runEarly(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
	case len(os.Args) == 4 && os.Args[1] == "full-replica":
		err = runFullReplica(os.Args[2], os.Args[3])
	case len(os.Args) == 4 && os.Args[1] == "full":
		os.Exit(runFull(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0", os.Getenv("STOP") != "0"))
	case len(os.Args) == 4 && os.Args[1] == "report-replica":
		err = runReplica(os.Args[2], os.Args[3], reportTime)
	case len(os.Args) == 4 && os.Args[1] == "same":
		os.Exit(runSame(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
	case len(os.Args) == 4 && os.Args[1] == "limits":
		os.Exit(runLimits(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
	default:
		err = fmt.Errorf("usage: stand-3 replica|stream-replica|full-replica|report-replica ID ADDRESS, or stand-3 early|grace|full|limits|same PROGRAM FOLDER")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand-3:", err)
		os.Exit(2)
	}
}
