package aubsettings

import "time"

// Default returns the values of settings that a file leaves out.
func Default() Settings {
	return Settings{
		Log:        Log{Format: "json", Level: "info"},
		Membership: Membership{Interval: seconds(0.5), Timeout: seconds(3), Budget: 8 << 10},
		Control:    Control{HeartbeatInterval: seconds(0.08), ElectionTimeout: seconds(0.4)},
		Caller: Caller{
			MaxBody:        16 << 20,
			BodyTimeout:    seconds(60),
			RequestTimeout: seconds(600),
			QueueTimeout:   seconds(30),
			WriteTimeout:   seconds(30),
		},
		Limits:    Limits{Policy: "leased"},
		Queue:     Queue{Policy: "fair", ConcurrencyPerBackend: 32, MaxWaiting: 1024},
		Routing:   Routing{Policy: "least_in_flight", RetryShare: 0.1, MaxAttempts: 3},
		Placement: defaultPlacement(),
		Standin: Standin{
			Memory:          48 << 30,
			PrefillRate:     20000,
			InterToken:      seconds(0.008),
			InterTokenStep:  seconds(0.0002),
			MaxBatch:        64,
			CacheTokens:     200_000,
			AdapterLoadTime: seconds(0.005),
			ReportLag:       seconds(0.1),
			LoadTime:        seconds(1),
		},
		Objectives: Objectives{
			FirstToken:   seconds(0.56),
			InterToken:   seconds(0.031),
			Share:        0.95,
			Availability: 0.999,
			WithinRate:   0.999,
		},
		Shutdown: Shutdown{Delay: seconds(2), Timeout: seconds(120)},
	}
}

func defaultPlacement() Placement {
	return Placement{
		Policy:                 "marginal_attainment",
		Objective:              "worst_served_workspace",
		Interval:               seconds(1),
		StoreRate:              1.5,
		StoreConcurrency:       4,
		AdapterConcurrency:     30,
		DemandHalfLife:         seconds(30),
		LostBackendGracePeriod: seconds(30),
	}
}

func seconds(n float64) Duration { return Duration(n * float64(time.Second)) }
