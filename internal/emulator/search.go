package emulator

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"fordusher/internal/day"
	"fordusher/internal/emulated/client"
	"fordusher/internal/rulecheck"
)

// A Search generates random scripts and looks for days in which a rule is violated, or nearly violated. Scripts
// that showed a new feature (a rule closer to its limit, another mix of outcomes, a new overlap of incidents) are
// added to a corpus, and later scripts are mutations of scripts of the corpus or entirely random.
type Search struct {
	Seed       uint64
	Runs       int
	Workers    int
	MaxResults int // number of worst days to return
}

// A SearchResult is one day of a search.
type SearchResult struct {
	Script      *day.Script
	Result      *Result
	NewFeatures int // features that no earlier day of the search had shown
}

// violations counts the violations of all rules and the unanswered requests.
func (r *Result) violations() int {
	n := r.Unanswered
	for _, finding := range r.Rules {
		n += finding.Violations
	}
	return n
}

// compareSeverity orders results by the number of violations, then by the smallest margin to a violation, then by
// credit, the worst first.
func compareSeverity(a, b *SearchResult) int {
	return cmp.Or(-cmp.Compare(a.Result.violations(), b.Result.violations()), cmp.Compare(a.Result.MinMargin, b.Result.MinMargin),
		cmp.Compare(a.Result.Credit, b.Result.Credit))
}

// batchSize is the number of days that are generated before their features are evaluated. As it is fixed, a search
// gives the same results on any number of cores.
const batchSize = 32

// Run runs the search and returns the worst days, the worst first, and the number of distinct features seen.
func (search Search) Run(ctx context.Context, logf func(format string, args ...any)) (results []*SearchResult, seen int, err error) {
	random := rand.New(rand.NewPCG(search.Seed, 31))
	features := map[string]bool{}
	var corpus []*day.Script
	for done := 0; done < search.Runs && ctx.Err() == nil; {
		var batch []*SearchResult
		for range min(batchSize, search.Runs-done) {
			var s *day.Script
			if len(corpus) > 0 && random.Float64() < 0.7 {
				s = mutate(random, corpus[random.IntN(len(corpus))])
			} else {
				s = drawScript(random)
			}
			s.Seed = random.Uint64() >> 12
			batch = append(batch, &SearchResult{Script: s})
		}
		if err := inParallel(search.Workers, len(batch), func(i int) (err error) {
			batch[i].Result, err = Run(batch[i].Script, batch[i].Script.Seed, Options{})
			return err
		}); err != nil {
			return nil, 0, err
		}
		for _, result := range batch {
			for _, x := range result.features() {
				if !features[x] {
					features[x] = true
					result.NewFeatures++
				}
			}
			if result.NewFeatures > 0 {
				corpus = append(corpus, result.Script)
			}
			result.Result.Records, result.Result.Samples = nil, nil
			results = append(results, result)
		}
		done += len(batch)
		slices.SortStableFunc(results, compareSeverity)
		results = results[:min(len(results), max(1, search.MaxResults))]
		worst := results[0]
		logf("%d days, %d features; worst day: %d violations, margin %.2f of rule %s, credit %.3f", done, len(features),
			worst.Result.violations(), worst.Result.MinMargin, worst.Result.MinMarginRule, worst.Result.Credit)
	}
	return results, len(features), ctx.Err()
}

// inParallel calls do for 0 to n-1 on a number of workers and returns the error of the lowest index that failed.
func inParallel(workers, n int, do func(i int) error) error {
	errs := make([]error, n)
	next := make(chan int)
	var wait sync.WaitGroup
	for range max(1, workers) {
		wait.Go(func() {
			for i := range next {
				errs[i] = do(i)
			}
		})
	}
	for i := range n {
		next <- i
	}
	close(next)
	wait.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// features lists the features of a day, each as a text with its numbers reduced to size classes.
func (f *SearchResult) features() (all []string) {
	r := f.Result
	add := func(format string, args ...any) { all = append(all, fmt.Sprintf(format, args...)) }
	for _, rule := range rulecheck.Rules {
		add("%s %d", rule, int(r.Rules[rule].MinMargin*20))
		add("%s checked %d", rule, sizeClass(r.Rules[rule].Checked))
	}
	add("nacked %d", sizeClass(r.Nacked*64/max(1, r.Received)))
	add("errored %d", sizeClass(r.Errored*1024/max(1, r.Received)))
	add("gone %d", sizeClass(r.Abandoned*64/max(1, r.Received)))
	add("legs %d", int(8*float64(r.Legs)/float64(max(1, r.Played))))
	add("credit %d", int(r.Credit*20))
	add("p99 %d", sizeClass(int(r.P99)))
	for i, a := range f.Script.Incidents {
		for _, b := range f.Script.Incidents[i+1:] {
			if a.At < b.At+b.Duration && b.At < a.At+a.Duration {
				add("%s with %s", min(a.Kind, b.Kind), max(a.Kind, b.Kind))
			}
		}
	}
	return all
}

// sizeClass returns the number of binary digits of n.
func sizeClass(n int) int {
	if n <= 0 {
		return 0
	}
	return 1 + int(math.Log2(float64(n)))
}

// drawSkewed draws a number between low and high; low numbers are more frequent.
func drawSkewed(random *rand.Rand, low, high float64) float64 {
	x := random.Float64()
	return low + (high-low)*x*x
}

// drawScript generates a random script.
func drawScript(random *rand.Rand) *day.Script {
	s := &day.Script{
		Length: time.Duration(drawSkewed(random, 6, 20)*10) * 100 * time.Millisecond, Directors: 1 + int(drawSkewed(random, 0, 12)),
		Nodes: 4 + int(drawSkewed(random, 0, 40)), Titles: 5 + int(drawSkewed(random, 0, 60)), Load: round(0.4 + random.Float64()),
		MeanLength: time.Duration(5+random.IntN(60)) * 100 * time.Millisecond,
		Behavior: client.Behavior{RetryShare: round(0.5 + random.Float64()/2), MinRetryDelay: 200 * time.Millisecond,
			MaxRetryDelay: 1200 * time.Millisecond, HonorsBackoffShare: round(random.Float64()),
			CancelShare: round(drawSkewed(random, 0, 0.2)), DuplicateShare: round(drawSkewed(random, 0, 0.1)),
			DisconnectShare: round(drawSkewed(random, 0, 0.2))},
		MinListDelay: time.Duration(random.IntN(400)) * time.Millisecond, SilentNodeListDelay: time.Duration(1+random.IntN(9)) * time.Second,
	}
	s.Racks = 1 + random.IntN(min(8, s.Nodes))
	s.MaxListDelay = s.MinListDelay + time.Duration(random.IntN(2000))*time.Millisecond
	s.Requests = 100 + int(drawSkewed(random, 0, 150)*s.Length.Seconds())
	for range 1 + random.IntN(7) {
		s.Incidents = append(s.Incidents, drawIncident(random, s))
	}
	return s
}

func round(x float64) float64 { return math.Round(x*100) / 100 }

func drawIncident(random *rand.Rand, s *day.Script) day.Incident {
	incident := day.Incident{
		Kind:     day.IncidentKinds[random.IntN(len(day.IncidentKinds))],
		At:       time.Duration(random.Int64N(int64(s.Length*3/4)/1e6)) * time.Millisecond,
		Duration: time.Duration(300+random.IntN(8000)) * time.Millisecond,
		Share:    round(0.02 + drawSkewed(random, 0, 0.6)),
	}
	switch incident.Kind {
	case "answer_lost", "fast_errors", "hot_key":
		incident.Size = round(random.Float64())
	case "ageing":
		incident.Size = float64(2 + random.IntN(14))
	default:
		incident.Size = round(1 + drawSkewed(random, 0, 3))
	}
	return incident
}

// mutate returns a copy of a script with one to three random changes.
func mutate(random *rand.Rand, from *day.Script) *day.Script {
	s := *from
	s.Incidents = slices.Clone(from.Incidents)
	for range 1 + random.IntN(3) {
		switch n := len(s.Incidents); random.IntN(9) {
		case 0, 1:
			s.Incidents = append(s.Incidents, drawIncident(random, &s))
		case 2:
			if n > 1 {
				s.Incidents = slices.Delete(s.Incidents, random.IntN(n), n)
			}
		case 3, 4:
			if n > 0 {
				i := random.IntN(n)
				at := s.Incidents[i].At
				s.Incidents[i] = drawIncident(random, &s)
				if random.IntN(2) == 0 {
					s.Incidents[i].At = at
				}
			}
		case 5:
			s.Directors = 1 + random.IntN(12)
		case 6:
			s.Load = round(0.4 + random.Float64()*1.2)
		case 7:
			s.MaxListDelay = s.MinListDelay + time.Duration(random.IntN(10_000))*time.Millisecond
		case 8:
			s.Behavior.DisconnectShare, s.Behavior.CancelShare, s.Behavior.DuplicateShare = round(drawSkewed(random, 0, 0.5)),
				round(drawSkewed(random, 0, 0.5)), round(drawSkewed(random, 0, 0.5))
		}
	}
	return &s
}

// MinimizeScript reduces a script as long as its day still fails: it removes incidents, halves the numbers of
// directors, nodes, racks, clients and titles and the length, and sets shares of client behavior to zero. It runs at
// most the given number of days and returns how many it ran; smaller is nil if the script itself does not fail.
func MinimizeScript(s *day.Script, fails func(r *Result) bool, maxRuns int,
	logf func(format string, args ...any)) (smaller *day.Script, runs int, err error) {
	stillFails := func(x *day.Script) bool {
		if runs >= maxRuns || err != nil {
			return false
		}
		runs++
		var r *Result
		if r, err = Run(x, x.Seed, Options{}); err != nil {
			return false
		}
		return fails(r)
	}
	if !stillFails(s) {
		return nil, runs, err
	}
	for reduced := true; reduced && err == nil && runs < maxRuns; {
		reduced = false
		try := func(what string, change func(x *day.Script) bool) {
			x := *s
			x.Incidents = slices.Clone(s.Incidents)
			if change(&x) && stillFails(&x) {
				s, reduced = &x, true
				logf("%s: %d incidents, %d nodes, %d directors, %d clients, %v", what, len(x.Incidents), x.Nodes, x.Directors, x.Requests, x.Length)
			}
		}
		for i := len(s.Incidents) - 1; i >= 0; i-- {
			try("one incident less", func(x *day.Script) bool {
				if i >= len(x.Incidents) {
					return false
				}
				x.Incidents = slices.Delete(x.Incidents, i, i+1)
				return true
			})
		}
		half := func(what string, count func(x *day.Script) *int, minimum int) {
			try("half the "+what, func(x *day.Script) bool {
				n := count(x)
				if *n <= minimum {
					return false
				}
				*n = max(minimum, *n/2)
				x.Racks = min(x.Racks, x.Nodes)
				return true
			})
		}
		half("directors", func(x *day.Script) *int { return &x.Directors }, 1)
		half("nodes", func(x *day.Script) *int { return &x.Nodes }, 1)
		half("racks", func(x *day.Script) *int { return &x.Racks }, 1)
		half("clients", func(x *day.Script) *int { return &x.Requests }, 1)
		half("titles", func(x *day.Script) *int { return &x.Titles }, 1)
		try("a shorter day", func(x *day.Script) bool {
			x.Length = (x.Length / 2).Round(100 * time.Millisecond)
			x.Requests = max(1, x.Requests/2)
			for _, incident := range x.Incidents {
				if incident.At >= x.Length {
					return false
				}
			}
			return x.Length >= time.Second
		})
		for _, behavior := range []func(x *day.Script) *float64{
			func(x *day.Script) *float64 { return &x.Behavior.DisconnectShare }, func(x *day.Script) *float64 { return &x.Behavior.CancelShare },
			func(x *day.Script) *float64 { return &x.Behavior.DuplicateShare }, func(x *day.Script) *float64 { return &x.Behavior.RetryShare },
		} {
			try("one client behavior less", func(x *day.Script) bool {
				before := *behavior(x)
				*behavior(x) = 0
				return before > 0
			})
		}
	}
	return s, runs, err
}
