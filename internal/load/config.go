package load

import (
	"time"

	"github.com/pkg/errors"
)

// Config describes one run.
type Config struct {
	Model string
	// Rate is the number of online requests per second, BatchRate that of
	// batch items.
	Rate, BatchRate float64
	// BatchItems is the number of items in one batch job.
	BatchItems int
	// Duration is how long requests start; answers are awaited after it.
	Duration time.Duration
	// Timeout bounds one online request, BatchTimeout the wait for a job after
	// the last start.
	Timeout, BatchTimeout time.Duration
	// PromptWords and MaxTokens size each request.
	PromptWords, MaxTokens int
	// Echo says that the engine repeats the words of the last user message, so
	// that every answer can be checked to be that of its own prompt.
	Echo bool
	// Seed fixes the arrival times and prompts.
	Seed uint64
}

// Validate checks the run's description.
func (c Config) Validate() error {
	switch {
	case c.Model == "":
		return errors.New("load: a model is needed")
	case c.Rate < 0 || c.BatchRate < 0 || c.Rate+c.BatchRate == 0:
		return errors.New("load: a rate above zero is needed")
	case c.Duration <= 0 || c.Timeout <= 0 || c.BatchTimeout <= 0:
		return errors.New("load: durations must be above zero")
	case c.BatchItems < 1 || c.PromptWords < 1 || c.MaxTokens < 1:
		return errors.New("load: sizes must be above zero")
	}
	return nil
}
