package desired

import "time"

// Default values of a service.
const (
	DefaultOnlineWeight    = 4.0
	DefaultBatchWeight     = 1.0
	DefaultTTFTTarget      = 1500 * time.Millisecond
	DefaultTBTTarget       = 100 * time.Millisecond
	DefaultDeadline        = 60 * time.Second
	DefaultSlots           = 8
	DefaultResultRetention = 7 * 24 * time.Hour
	DefaultMaxTries        = 4
	DefaultReplicas        = 1
)

// SetDefaults sets the default values of settings that are not set.
func (d *Document) SetDefaults() {
	for i := range d.Services {
		d.Services[i].setDefaults()
	}
}

func (s *Service) setDefaults() {
	if s.Kind == "" {
		s.Kind = Model
	}
	if s.OnlineWeight == 0 {
		s.OnlineWeight = DefaultOnlineWeight
	}
	if s.BatchWeight == 0 {
		s.BatchWeight = DefaultBatchWeight
	}
	if s.Kind == Model {
		setDuration(&s.TTFTTarget, DefaultTTFTTarget)
		setDuration(&s.TBTTarget, DefaultTBTTarget)
	}
	setDuration(&s.Deadline, DefaultDeadline)
	setDuration(&s.ResultRetention, DefaultResultRetention)
	if s.Slots == 0 {
		s.Slots = DefaultSlots
	}
	if s.MaxTries == 0 {
		s.MaxTries = DefaultMaxTries
	}
	for i := range s.Deploy {
		if s.Deploy[i].Replicas == 0 {
			s.Deploy[i].Replicas = DefaultReplicas
		}
	}
	if s.LogDown == "" {
		s.LogDown = AnswerUnrecorded
	}
}

func setDuration(d *Duration, value time.Duration) {
	if *d == 0 {
		*d = Duration(value)
	}
}
