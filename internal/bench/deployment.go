package bench

import (
	"time"

	"github.com/catkinrudder/catkinrudder/admission"
)

// Deployment describes one fleet and its workload.
type Deployment struct {
	Name    string
	Zones   []Zone
	Entries []int // index into Zones of each entry
	// ZoneDelay, RegionDelay and ClientDelay are one-way delays.
	ZoneDelay, RegionDelay, ClientDelay time.Duration
	Services                            []Service
	Phases                              []Phase
}

// Zone is one availability zone.
type Zone struct{ Name, Region string }

// Service is one service of a deployment.
type Service struct {
	Name     string
	Workers  int
	Model    EngineModel
	Policy   admission.Policy
	Online   Mix
	Batch    *Mix // nil if the service runs no batch items
	Deadline time.Duration
	// OnlineRate is the arrival rate, in requests per second, at intensity 1.
	OnlineRate float64
	// NonIdempotentShare is the share of requests that are non-idempotent.
	NonIdempotentShare float64
}

// Mix describes the request sizes of a service, in tokens.
type Mix struct {
	Prefixes     int // number of distinct shared prefixes
	PrefixTokens int
	PromptTokens [2]int // uniform range
	OutputTokens [2]int // uniform range
}

// Phase is one part of a simulated day, which is compressed into one run.
type Phase struct {
	Name  string
	Share float64 // of the run's duration
	// Intensity scales the online arrival rate.
	Intensity float64
	// BurstEvery and BurstSize add bursts, each spread over burstWidth.
	BurstEvery time.Duration
	BurstSize  int
}

const (
	burstWidth         = 400 * time.Millisecond
	linkBytesPerSecond = 30_000_000 / 8
	bytesPerToken      = 4
	messageBytes       = 400
	tokenFrameBytes    = 48
	reportInterval     = 100 * time.Millisecond
	feedInterval       = 5 * time.Millisecond
	reportBytes        = 64
	groupInterval      = time.Minute
)

func llmModel() EngineModel {
	return EngineModel{
		StepBase:     20 * time.Millisecond,
		PerStream:    80 * time.Microsecond,
		PerPrefill:   40 * time.Microsecond,
		ChunkTokens:  512,
		MaxStreams:   64,
		MemoryTokens: 60_000,
		BlockTokens:  16,
	}
}

func plainModel() EngineModel {
	return EngineModel{
		StepBase:     15 * time.Millisecond,
		PerStream:    300 * time.Microsecond,
		PerPrefill:   time.Microsecond,
		ChunkTokens:  4096,
		MaxStreams:   64,
		MemoryTokens: 60_000,
		BlockTokens:  16,
	}
}

// Deployments returns all deployments of the benchmark.
func Deployments() []Deployment {
	return []Deployment{magnoliaKeys(), boisTraite()}
}

func magnoliaKeys() Deployment {
	return Deployment{
		Name:        "magnolia-keys",
		Zones:       []Zone{{"charlotte", "carolinas"}, {"raleigh", "carolinas"}, {"atlanta", "georgia"}},
		Entries:     []int{0, 1, 2},
		ZoneDelay:   time.Millisecond,
		RegionDelay: 30 * time.Millisecond,
		ClientDelay: 4 * time.Millisecond,
		Services: []Service{
			{
				Name: "tuner-assistant", Workers: 9, Model: llmModel(),
				Policy: admission.Policy{
					Slots: 32, OnlineWeight: 4, BatchWeight: 1,
					TTFTTarget: 400 * time.Millisecond, TBTTarget: 35 * time.Millisecond,
				},
				Online:     Mix{Prefixes: 60, PrefixTokens: 600, PromptTokens: [2]int{40, 300}, OutputTokens: [2]int{30, 150}},
				Batch:      &Mix{Prefixes: 4, PrefixTokens: 300, PromptTokens: [2]int{100, 300}, OutputTokens: [2]int{100, 300}},
				Deadline:   10 * time.Second,
				OnlineRate: 25,
			},
			plainService("appointment-book", 20),
		},
		Phases: []Phase{
			{Name: "night", Share: 0.2, Intensity: 0.05, BurstEvery: 15 * time.Second, BurstSize: 40},
			{Name: "monday-morning", Share: 0.3, Intensity: 1.6, BurstEvery: 10 * time.Second, BurstSize: 60},
			{Name: "day", Share: 0.3, Intensity: 0.8, BurstEvery: 15 * time.Second, BurstSize: 60},
			{Name: "evening", Share: 0.2, Intensity: 0.3, BurstEvery: 20 * time.Second, BurstSize: 40},
		},
	}
}

func boisTraite() Deployment {
	return Deployment{
		Name:        "bois-traite",
		Zones:       []Zone{{"dakar-port", "dakar"}, {"thies-plant", "dakar"}, {"zig-yard", "casamance"}},
		Entries:     []int{0, 1, 2},
		ZoneDelay:   1500 * time.Microsecond,
		RegionDelay: 30 * time.Millisecond,
		ClientDelay: time.Millisecond,
		Services: []Service{
			{
				Name: "redacteur", Workers: 9, Model: llmModel(),
				Policy: admission.Policy{
					Slots: 32, OnlineWeight: 1, BatchWeight: 1,
					TTFTTarget: 400 * time.Millisecond, TBTTarget: 35 * time.Millisecond,
				},
				Online:     Mix{Prefixes: 20, PrefixTokens: 900, PromptTokens: [2]int{60, 400}, OutputTokens: [2]int{60, 240}},
				Batch:      &Mix{Prefixes: 3, PrefixTokens: 500, PromptTokens: [2]int{100, 400}, OutputTokens: [2]int{150, 350}},
				Deadline:   10 * time.Second,
				OnlineRate: 12,
			},
			plainService("guichet", 20),
		},
		Phases: []Phase{
			{Name: "morning", Share: 0.3, Intensity: 0.8, BurstEvery: 12 * time.Second, BurstSize: 40},
			{Name: "port-call", Share: 0.2, Intensity: 1.8, BurstEvery: 6 * time.Second, BurstSize: 60},
			{Name: "evening-batch", Share: 0.5, Intensity: 0.2, BurstEvery: 15 * time.Second, BurstSize: 40},
		},
	}
}

func plainService(name string, rate float64) Service {
	return Service{
		Name: name, Workers: 3, Model: plainModel(),
		Policy: admission.Policy{
			Slots: 32, OnlineWeight: 4, BatchWeight: 1,
			TTFTTarget: 200 * time.Millisecond, TBTTarget: 50 * time.Millisecond,
		},
		Online:             Mix{PromptTokens: [2]int{10, 50}, OutputTokens: [2]int{1, 3}},
		Deadline:           5 * time.Second,
		OnlineRate:         rate,
		NonIdempotentShare: 0.3,
	}
}
