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

// The fleet of the measurements. Prompts and speeds are like those of today's engines; gaps and
// caches are scaled down together.
const (
	prefillTokensPerSecond = 4000
	decodeMS               = 10
	engineSlots            = 8
	cachePieces            = 20
	pieceTokens            = 1000
	kvBytesPerPiece        = 64 << 10
	loadLagMS              = 100
	eventLagMS             = 200
	dropEvery              = 50
	plainWorkMS            = 5
	storeMemoryBytes       = 512 * kvBytesPerPiece
	storeDiskBytes         = 1024 * kvBytesPerPiece
	storeLinkBytes         = 2 << 20 // a second
	storeDiskMS            = 2
	listLagMS              = 1000
	stores                 = 2
	entries                = 3
	meanTurns              = 2 // before a returning request, for the offered load
)

// idleRate is the number of requests a second of a row without load.
const idleRate = 0.01

// Case is one run to make.
type Case struct {
	Profile load.Profile
	Row     Row
	// Policy is the entries' placement_policy; empty means their default.
	Policy string
	Seed   uint64
}

// Outcome has the figures of a run.
type Outcome struct {
	Row    string       `json:"row"`
	Policy string       `json:"policy"`
	Report *load.Report `json:"report"`
	// Doubled counts non-idempotent requests that ran more than once.
	Doubled int                 `json:"doubled"`
	Stores  []storeserver.Stats `json:"stores"`
	// Load1 is the machine's load average at the start and end of the run.
	Load1 [2]string `json:"machine_load"`
}

// modelReplicas and plainReplicas are those of the deployment today.
func replicas(p load.Profile) (model, plain int) {
	if p.Name == "nyirangabo" {
		return 20, 3
	}
	return 12, 4
}

// Run starts a fleet, makes one run and stops the fleet.
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
	outcome.Load1[0] = machineLoad()
	if outcome.Report, err = offer(ctx, f, c, load.Plan{
		Profile:  profile,
		Seed:     c.Seed,
		Rate:     rateOf(profile, spec.ModelReplicas, c.Row.Load),
		Duration: c.Row.WarmUp + c.Row.Measured,
		MeanGap:  c.Row.MeanGap,
	}); err != nil {
		return nil, err
	}
	outcome.Load1[1] = machineLoad()
	outcome.Doubled, err = doubled(ctx, f, profile)
	outcome.Stores = storeStats(ctx, f)
	return outcome, err
}

// offer makes the run and brings the row's faults about after the warm-up.
func offer(ctx context.Context, f *testbed.Fleet, c Case, plan load.Plan) (*load.Report, error) {
	faulted := make(chan error, 1)
	go func() {
		pause(ctx, c.Row.WarmUp)
		if c.Row.During == nil {
			faulted <- nil
			return
		}
		faulted <- c.Row.During(ctx, f, c.Row.Measured)
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
	if faultErr := <-faulted; err == nil {
		err = faultErr
	}
	return report, err
}

// rateOf returns the requests a second whose prompt work is the given part of what the replicas
// could compute without any cache.
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
		Stores:        stores,
		Entries:       entries,
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
			"link_bytes_per_second": storeLinkBytes,
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
		for _, instance := range f.Service(service.Name) {
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

// storeStats returns the counts of the stores that answer.
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

// machineLoad returns the machine's load average over a minute.
func machineLoad() string {
	content, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	first, _, _ := strings.Cut(string(content), " ")
	return first
}
