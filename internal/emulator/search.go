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

// A Search draws days and looks for those in which a rule is broken, or nearly. What has shown something new (a
// rule nearer to its bound, other endings, troubles that overlap) is drawn from again.
type Search struct {
	Seed       uint64
	Runs       int
	Workers    int
	MaxResults int // of the worst days
}

// A SearchResult is a day of a hunt.
type SearchResult struct {
	Script      *day.Script
	Result      *Result
	NewFeatures int // features that no day before had shown
}

// broken counts the breaches of all rules, and requests without an answer.
func (r *Result) broken() int {
	n := r.Unanswered
	for _, f := range r.Rules {
		n += f.Violations
	}
	return n
}

// worse ranks finds: by broken rules, then by the smallest margin to one, then by credit.
func worse(a, b *SearchResult) int {
	return cmp.Or(-cmp.Compare(a.Result.broken(), b.Result.broken()), cmp.Compare(a.Result.MinMargin, b.Result.MinMargin),
		cmp.Compare(a.Result.Credit, b.Result.Credit))
}

// generation is how many days are drawn before what they showed is looked at: a hunt is the same on any number
// of cores.
const generation = 32

// Run hunts; the worst days come first. Seen is how many features were reached.
func (h Search) Run(ctx context.Context, say func(format string, args ...any)) (finds []*SearchResult, seen int, err error) {
	chance := rand.New(rand.NewPCG(h.Seed, 31))
	features := map[string]bool{}
	var corpus []*day.Script
	for done := 0; done < h.Runs && ctx.Err() == nil; {
		var batch []*SearchResult
		for range min(generation, h.Runs-done) {
			var s *day.Script
			if len(corpus) > 0 && chance.Float64() < 0.7 {
				s = mutate(chance, corpus[chance.IntN(len(corpus))])
			} else {
				s = drawScript(chance)
			}
			s.Seed = chance.Uint64() >> 12
			batch = append(batch, &SearchResult{Script: s})
		}
		if err := inParallel(h.Workers, len(batch), func(i int) (err error) {
			batch[i].Result, err = Run(batch[i].Script, batch[i].Script.Seed, Options{})
			return err
		}); err != nil {
			return nil, 0, err
		}
		for _, f := range batch {
			for _, x := range f.features() {
				if !features[x] {
					features[x] = true
					f.NewFeatures++
				}
			}
			if f.NewFeatures > 0 {
				corpus = append(corpus, f.Script)
			}
			f.Result.Records, f.Result.Samples = nil, nil
			finds = append(finds, f)
		}
		done += len(batch)
		slices.SortStableFunc(finds, worse)
		finds = finds[:min(len(finds), max(1, h.MaxResults))]
		w := finds[0]
		say("%d days, %d features; the worst: %d broken, %.2f left of %s, credit %.3f", done, len(features), w.Result.broken(), w.Result.MinMargin,
			w.Result.MinMarginRule, w.Result.Credit)
	}
	return finds, len(features), ctx.Err()
}

// inParallel does so many things on so many cores; the first error is returned.
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

// features are what a day has shown, in classes.
func (f *SearchResult) features() (all []string) {
	r := f.Result
	say := func(format string, args ...any) { all = append(all, fmt.Sprintf(format, args...)) }
	for _, rule := range rulecheck.Rules {
		say("%s %d", rule, int(r.Rules[rule].MinMargin*20))
		say("%s checked %d", rule, bits(r.Rules[rule].Checked))
	}
	say("nacked %d", bits(r.Nacked*64/max(1, r.Received)))
	say("errored %d", bits(r.Errored*1024/max(1, r.Received)))
	say("gone %d", bits(r.Abandoned*64/max(1, r.Received)))
	say("legs %d", int(8*float64(r.Legs)/float64(max(1, r.Played))))
	say("credit %d", int(r.Credit*20))
	say("p99 %d", bits(int(r.P99)))
	for i, a := range f.Script.Incidents {
		for _, b := range f.Script.Incidents[i+1:] {
			if a.At < b.At+b.Duration && b.At < a.At+a.Duration {
				say("%s with %s", min(a.Kind, b.Kind), max(a.Kind, b.Kind))
			}
		}
	}
	return all
}

// bits is the size class of a number.
func bits(n int) int {
	if n <= 0 {
		return 0
	}
	return 1 + int(math.Log2(float64(n)))
}

// between draws a number, low ones more often.
func between(r *rand.Rand, low, high float64) float64 {
	x := r.Float64()
	return low + (high-low)*x*x
}

// drawScript draws a day.
func drawScript(r *rand.Rand) *day.Script {
	s := &day.Script{
		Length: time.Duration(between(r, 6, 20)*10) * 100 * time.Millisecond, Directors: 1 + int(between(r, 0, 12)), Nodes: 4 + int(between(r, 0, 40)),
		Titles: 5 + int(between(r, 0, 60)), Load: round(0.4 + r.Float64()), MeanLength: time.Duration(5+r.IntN(60)) * 100 * time.Millisecond,
		Behavior: client.Behavior{RetryShare: round(0.5 + r.Float64()/2), MinRetryDelay: 200 * time.Millisecond, MaxRetryDelay: 1200 * time.Millisecond, HonorsBackoffShare: round(r.Float64()),
			CancelShare: round(between(r, 0, 0.2)), DuplicateShare: round(between(r, 0, 0.1)), DisconnectShare: round(between(r, 0, 0.2))},
		MinListDelay: time.Duration(r.IntN(400)) * time.Millisecond, SilentNodeListDelay: time.Duration(1+r.IntN(9)) * time.Second,
	}
	s.Racks = 1 + r.IntN(min(8, s.Nodes))
	s.MaxListDelay = s.MinListDelay + time.Duration(r.IntN(2000))*time.Millisecond
	s.Requests = 100 + int(between(r, 0, 150)*s.Length.Seconds())
	for range 1 + r.IntN(7) {
		s.Incidents = append(s.Incidents, drawTrouble(r, s))
	}
	return s
}

func round(x float64) float64 { return math.Round(x*100) / 100 }

func drawTrouble(r *rand.Rand, s *day.Script) day.Incident {
	t := day.Incident{Kind: day.IncidentKinds[r.IntN(len(day.IncidentKinds))], At: time.Duration(r.Int64N(int64(s.Length*3/4)/1e6)) * time.Millisecond,
		Duration: time.Duration(300+r.IntN(8000)) * time.Millisecond, Share: round(0.02 + between(r, 0, 0.6))}
	switch t.Kind {
	case "answer_lost", "fast_errors", "hot_key":
		t.Size = round(r.Float64())
	case "ageing":
		t.Size = float64(2 + r.IntN(14))
	default:
		t.Size = round(1 + between(r, 0, 3))
	}
	return t
}

// mutate changes a day a little.
func mutate(r *rand.Rand, from *day.Script) *day.Script {
	s := *from
	s.Incidents = slices.Clone(from.Incidents)
	for range 1 + r.IntN(3) {
		switch n := len(s.Incidents); r.IntN(9) {
		case 0, 1:
			s.Incidents = append(s.Incidents, drawTrouble(r, &s))
		case 2:
			if n > 1 {
				s.Incidents = slices.Delete(s.Incidents, r.IntN(n), n)
			}
		case 3, 4:
			if n > 0 {
				i := r.IntN(n)
				at := s.Incidents[i].At
				s.Incidents[i] = drawTrouble(r, &s)
				if r.IntN(2) == 0 {
					s.Incidents[i].At = at
				}
			}
		case 5:
			s.Directors = 1 + r.IntN(12)
		case 6:
			s.Load = round(0.4 + r.Float64()*1.2)
		case 7:
			s.MaxListDelay = s.MinListDelay + time.Duration(r.IntN(10_000))*time.Millisecond
		case 8:
			s.Behavior.DisconnectShare, s.Behavior.CancelShare, s.Behavior.DuplicateShare = round(between(r, 0, 0.5)), round(between(r, 0, 0.5)), round(between(r, 0, 0.5))
		}
	}
	return &s
}

// MinimizeScript cuts a day down as far as it still fails: troubles are left out, what there is of nodes, directors,
// viewers and time is halved, habits are dropped. It tries so many days at the most, and returns how many.
func MinimizeScript(s *day.Script, fails func(r *Result) bool, most int, say func(format string, args ...any)) (smaller *day.Script, tried int, err error) {
	still := func(x *day.Script) bool {
		if tried >= most || err != nil {
			return false
		}
		tried++
		var r *Result
		if r, err = Run(x, x.Seed, Options{}); err != nil {
			return false
		}
		return fails(r)
	}
	if !still(s) {
		return nil, tried, err
	}
	for again := true; again && err == nil && tried < most; {
		again = false
		try := func(what string, change func(x *day.Script) bool) {
			x := *s
			x.Incidents = slices.Clone(s.Incidents)
			if change(&x) && still(&x) {
				s, again = &x, true
				say("%s: %d troubles, %d nodes, %d directors, %d viewers, %v", what, len(x.Incidents), x.Nodes, x.Directors, x.Requests, x.Length)
			}
		}
		for i := len(s.Incidents) - 1; i >= 0; i-- {
			try("a trouble less", func(x *day.Script) bool {
				if i >= len(x.Incidents) {
					return false
				}
				x.Incidents = slices.Delete(x.Incidents, i, i+1)
				return true
			})
		}
		half := func(what string, of func(x *day.Script) *int, least int) {
			try("half the "+what, func(x *day.Script) bool {
				n := of(x)
				if *n <= least {
					return false
				}
				*n = max(least, *n/2)
				x.Racks = min(x.Racks, x.Nodes)
				return true
			})
		}
		half("directors", func(x *day.Script) *int { return &x.Directors }, 1)
		half("nodes", func(x *day.Script) *int { return &x.Nodes }, 1)
		half("racks", func(x *day.Script) *int { return &x.Racks }, 1)
		half("viewers", func(x *day.Script) *int { return &x.Requests }, 1)
		half("titles", func(x *day.Script) *int { return &x.Titles }, 1)
		try("a shorter day", func(x *day.Script) bool {
			x.Length = (x.Length / 2).Round(100 * time.Millisecond)
			x.Requests = max(1, x.Requests/2)
			for _, t := range x.Incidents {
				if t.At >= x.Length {
					return false
				}
			}
			return x.Length >= time.Second
		})
		for _, habit := range []func(x *day.Script) *float64{
			func(x *day.Script) *float64 { return &x.Behavior.DisconnectShare }, func(x *day.Script) *float64 { return &x.Behavior.CancelShare },
			func(x *day.Script) *float64 { return &x.Behavior.DuplicateShare }, func(x *day.Script) *float64 { return &x.Behavior.RetryShare },
		} {
			try("a habit less", func(x *day.Script) bool {
				was := *habit(x)
				*habit(x) = 0
				return was > 0
			})
		}
	}
	return s, tried, err
}
