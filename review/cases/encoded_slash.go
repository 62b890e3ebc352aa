package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// pathEncodedSlash has a slash in an identifier, encoded, so that it is no separator of the
	// path. It begins with the prefix /read/ only.
	pathEncodedSlash = "/read/titles%2F2f"
	slashClients     = 6
	slashPause       = 50 * time.Millisecond
	slashBefore      = 2 * time.Second
	slashAfter       = 5 * time.Second
)

// withTitlesRoute is the next version of the configuration, which adds a route to another service.
func withTitlesRoute(configuration string) string {
	const first = `"routes":[`
	added := first + `{"name":"r-titles","host":"wuny96.example","path_prefix":"/read/titles/","route_kind":"safe","timeout_ms":4000,"slo_ms":300,"priority":2,"service":"dele69a","max_attempts":2,"anonymous":false,"sticky":false,"resumable":false},`
	return strings.NewReplacer(`"version":7`, `"version":9`, first, added).Replace(configuration)
}

// playEncodedSlash adds a route whose prefix is that of the clients' path only if the path is
// decoded, and returns the requests that the service of the new route ran.
func playEncodedSlash(ctx context.Context, s *site, withTrouble bool) ([]string, error) {
	workers := []*worker{newWorker(0, plainService), newWorker(1, plainService), newWorker(2, otherService), newWorker(3, otherService)}
	for _, w := range workers {
		w.workTime = lostWorkTime
	}
	if err := s.start(ctx, workers, plainConfiguration); err != nil {
		return nil, err
	}
	time.AfterFunc(slashBefore, func() {
		if withTrouble {
			s.rec.add("configuration with the new route is acknowledged: %t", s.putConfiguration(ctx, withTitlesRoute(plainConfiguration)))
		}
	})
	var clients []*client
	for i := range slashClients {
		clients = append(clients, &client{rec: s.rec, front: s.front(i % machineCount), method: http.MethodGet, path: pathEncodedSlash})
	}
	results := load{clients: clients, pause: slashPause}.run(ctx, slashBefore+slashAfter)
	s.rec.add("answers by status: %v", countStatuses(results))
	others := countRuns(workers[2:])
	var violations []string
	for _, r := range results {
		if others[r.attempt] > 0 {
			violations = append(violations, fmt.Sprintf("ROUTE: attempt %s for %s ran at the service of the route /read/titles/, status %d", r.attempt, pathEncodedSlash, r.status))
		}
	}
	return violations, nil
}
