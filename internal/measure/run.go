package measure

import (
	"context"
	"os"
	"strings"
	"time"

	"balsamyoke.example/balsamyoke/internal/load"
	"balsamyoke.example/balsamyoke/internal/manifest"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/standin/storeserver"
	"balsamyoke.example/balsamyoke/internal/testbed"
)

// The parameters of the measured fleet. Prompts and speeds are similar to those of current engines; gaps and
// caches are scaled down together.
const (
	prefillTokensPerSecond  = 4000
	decodeMS                = 10
	engineSlots             = 8
	cachePieces             = 20
	pieceTokens             = 1000
	kvBytesPerPiece         = 64 << 10
	loadLagMS               = 100
	eventLagMS              = 200
	dropEvery               = 50
	plainWorkMS             = 5
	storeMemoryBytes        = 512 * kvBytesPerPiece
	storeDiskBytes          = 1024 * kvBytesPerPiece
	storeLinkBytesPerSecond = 2 << 20
	storeDiskMS             = 2
	listLagMS               = 1000
	storeCount              = 2
	entryCount              = 3
	meanTurns               = 2 // of a conversation before a returning request; used to compute the request rate
)

// idleRate is the number of requests per second of a row without load.
const idleRate = 0.01

// Case defines one run.
type Case struct {
	Profile load.Profile
	Row     Row
	// Policy is the entries' placement_policy; empty means their default.
	Policy string
	Seed   uint64
}

// Outcome holds the results of a run.
type Outcome struct {
	Row    string       `json:"row"`
	Policy string       `json:"policy"`
	Report *load.Report `json:"report"`
	// Doubled counts non-idempotent requests that ran more than once.
	Doubled int                 `json:"doubled"`
	Stores  []storeserver.Stats `json:"stores"`
	// LoadAverage is the host's load average over one minute, at the start and end of the run.
	LoadAverage [2]string `json:"machine_load"`
}

// replicas returns the numbers of model and plain replicas that the deployment has today.
func replicas(p load.Profile) (model, plain int) {
	if p.Name == "nyirangabo" {
		return 20, 3
	}
	return 12, 4
}

// Run starts a fleet, executes one run against it and stops the fleet. binaries is the folder of the
// programs, folder that of settings and logs.
func Run(ctx context.Context, binaries, folder string, c Case) (*Outcome, error) {
	profile := c.Profile
	if c.Row.Skew != 0 {
		profile.Skew = c.Row.Skew
	}
	spec := specOf(binaries, folder, profile, c.Policy)
	f, err := testbed.Start(ctx, spec)
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	if c.Row.Before != nil {
		if err := c.Row.Before(ctx, f, c.Row.Measured); err != nil {
			return nil, err
		}
	}
	outcome := &Outcome{Row: c.Row.Name, Policy: c.Policy}
	outcome.LoadAverage[0] = loadAverage()
	if outcome.Report, err = offer(ctx, f, c, load.Plan{
		Profile:  profile,
		Seed:     c.Seed,
		Rate:     rateOf(profile, spec.ModelReplicas, c.Row.Load),
		Duration: c.Row.WarmUp + c.Row.Measured,
		MeanGap:  c.Row.MeanGap,
	}); err != nil {
		return nil, err
	}
	outcome.LoadAverage[1] = loadAverage()
	outcome.Doubled, err = doubled(ctx, f, profile)
	outcome.Stores = storeStats(ctx, f)
	return outcome, err
}

// offer sends the load of the plan and injects the row's faults after the warm-up.
func offer(ctx context.Context, f *testbed.Fleet, c Case, plan load.Plan) (*load.Report, error) {
	injected := make(chan error, 1)
	go func() {
		pause(ctx, c.Row.WarmUp)
		if c.Row.During == nil {
			injected <- nil
			return
		}
		injected <- c.Row.During(ctx, f, c.Row.Measured)
	}()
	options := load.Options{Plan: plan, WarmUp: c.Row.WarmUp, Processes: map[string]int{}}
	for _, instance := range f.Instances {
		switch instance.Role {
		case metastore.RoleEntry:
			options.Entries = append(options.Entries, instance.Address)
			options.Processes[instance.ID] = instance.Process.PID()
		case metastore.RoleAgent:
			options.Processes[instance.ID] = instance.Process.PID()
		}
	}
	report, err := load.Run(ctx, options)
	if faultErr := <-injected; err == nil {
		err = faultErr
	}
	return report, err
}

// rateOf returns the number of requests per second whose prompt tokens are the given part of the replicas'
// prefill capacity without any cache.
func rateOf(p load.Profile, modelReplicas int, part float64) float64 {
	if part == 0 {
		return idleRate
	}
	return part * float64(modelReplicas) * prefillTokensPerSecond / p.MeanPromptTokens(meanTurns)
}

func specOf(binaries, folder string, p load.Profile, policy string) testbed.Spec {
	model, plain := replicas(p)
	entry := testbed.Settings{}
	if policy != "" {
		entry["placement_policy"] = policy
	}
	return testbed.Spec{
		Binaries:      binaries,
		Folder:        folder,
		Region:        "local",
		Domains:       p.Domains,
		Manifest:      p.Manifest(),
		ModelReplicas: model,
		PlainReplicas: plain,
		Stores:        storeCount,
		Entries:       entryCount,
		List:          testbed.Settings{"lag_ms": listLagMS},
		Weights:       testbed.Settings{"max_parallel": 2},
		Plain:         testbed.Settings{"work_ms": plainWorkMS},
		Entry:         entry,
		Engine: testbed.Settings{
			"prefill_tokens_per_second": prefillTokensPerSecond,
			"decode_ms":                 decodeMS,
			"slots":                     engineSlots,
			"cache_pieces":              cachePieces,
			"piece_tokens":              pieceTokens,
			"kv_bytes_per_piece":        kvBytesPerPiece,
			"load_lag_ms":               loadLagMS,
			"event_lag_ms":              eventLagMS,
			"drop_every":                dropEvery,
		},
		Agent: testbed.Settings{
			"slots":                engineSlots,
			"prefill_us_per_token": 1_000_000 / prefillTokensPerSecond,
			"decode_us_per_token":  decodeMS * 1000,
			"plain_work_ms":        plainWorkMS,
		},
		Store: testbed.Settings{
			"memory_bytes":          storeMemoryBytes,
			"disk_bytes":            storeDiskBytes,
			"link_bytes_per_second": storeLinkBytesPerSecond,
			"disk_ms":               storeDiskMS,
		},
	}
}

// modelService returns the service of the model replicas of a fleet.
func modelService(f *testbed.Fleet) string {
	for _, instance := range f.Role(metastore.RoleAgent) {
		return instance.Service
	}
	return ""
}

// doubled counts the non-idempotent requests that ran more than once, on all plain replicas
// together.
func doubled(ctx context.Context, f *testbed.Fleet, p load.Profile) (int, error) {
	runs := map[string]int{}
	for _, service := range p.Services {
		if service.Type != manifest.ServicePlain {
			continue
		}
		for _, instance := range f.Agents(service.Name) {
			var counts map[string]int
			if err := testbed.Call(ctx, "GET", instance.BackendAddress, "/admin/bodies", nil, &counts); err != nil {
				return 0, err
			}
			for body, count := range counts {
				runs[body] += count
			}
		}
	}
	count := 0
	for _, kind := range p.Kinds {
		if kind.Idempotent {
			continue
		}
		for body, n := range runs {
			if n > 1 && strings.HasPrefix(body, kind.Name+"/") {
				count++
			}
		}
	}
	return count, nil
}

// storeStats returns the counts of the stores that respond.
func storeStats(ctx context.Context, f *testbed.Fleet) []storeserver.Stats {
	var all []storeserver.Stats
	for _, store := range f.Role(metastore.RoleStore) {
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		var stats storeserver.Stats
		if testbed.Call(callCtx, "GET", store.AdminAddress, "/admin/stats", nil, &stats) == nil {
			all = append(all, stats)
		}
		cancel()
	}
	return all
}

// loadAverage returns the host's load average over one minute, or an empty string when it can't be read.
func loadAverage() string {
	content, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	first, _, _ := strings.Cut(string(content), " ")
	return first
}
