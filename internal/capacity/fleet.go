package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"google.golang.org/protobuf/proto"

	"github.com/catkinrudder/catkinrudder/internal/entry"
	"github.com/catkinrudder/catkinrudder/internal/logservice"
	"github.com/catkinrudder/catkinrudder/internal/sidecar"
	peerv1 "github.com/catkinrudder/catkinrudder/peer/v1"
	"github.com/catkinrudder/catkinrudder/peer/v1/peerv1connect"
	"github.com/catkinrudder/catkinrudder/settings"
)

// unusedAddr is an address to which no measurement connects.
const unusedAddr = "127.0.0.1:1"

func sidecarSettings(backend string) settings.Settings {
	return settings.Settings{
		Instance: backendName(0), Role: settings.RoleSidecar, Region: region, Zone: zone,
		Backend: settings.Backend{Address: backend, Service: modelService},
	}
}

func entrySettings() settings.Settings {
	s := settings.Settings{
		Instance: "entry-0001", Role: settings.RoleEntry, Region: region, Zone: zone,
		Platform: settings.Platform{Log: unusedAddr, Instances: unusedAddr},
	}
	s.SetDefaults()
	return s
}

// controlCall makes one call between two processes on a control connection.
type controlCall func(ctx context.Context, l *loopback) error

func callReport(ctx context.Context, l *loopback) error {
	_, err := l.clients.Control(l.addr).Report(ctx, connect.NewRequest(&peerv1.ReportRequest{}))
	return err
}

func callStatus(ctx context.Context, l *loopback) error {
	_, err := l.clients.Entry(l.addr).Status(ctx, connect.NewRequest(&peerv1.StatusRequest{}))
	return err
}

func measureReports(ctx context.Context) ([]Quantity, error) {
	logger := log.New(io.Discard)
	path, h := peerv1connect.NewSidecarHandler(sidecar.New(sidecarSettings(unusedAddr), logger))
	sidecars, err := newLoopback(ctx, path, h)
	if err != nil {
		return nil, err
	}
	defer sidecars.stop()
	path, h = peerv1connect.NewEntryHandler(entry.New(entrySettings(), logger))
	entries, err := newLoopback(ctx, path, h)
	if err != nil {
		return nil, err
	}
	defer entries.stop()
	reports, err := measureCalls(ctx, sidecars, "report", "report of a sidecar", callReport)
	if err != nil {
		return nil, err
	}
	statuses, err := measureCalls(ctx, entries, "status", "status of an entry", callStatus)
	if err != nil {
		return nil, err
	}
	held, err := measureSizes(Quantity{ID: "report.held", Help: "encoded report", Unit: Bytes, Per: "batch attempt held"},
		[]int{0, 16, 64}, func(n int) (float64, error) { return float64(proto.Size(heldReport(n))), nil })
	return append(append(reports, statuses...), held), err
}

// measureCalls measures the bytes and the processor time of sequences of calls
// on one connection. The call before the measurements opens it.
func measureCalls(ctx context.Context, l *loopback, id, help string, do controlCall) ([]Quantity, error) {
	wireBytes := Quantity{ID: id + ".bytes", Help: help + ", both directions", Unit: Bytes, Per: "call"}
	processorNanos := Quantity{ID: id + ".cpu", Help: help + ", both sides", Unit: Nanoseconds, Per: "call"}
	if err := do(ctx, l); err != nil {
		return nil, err
	}
	for _, n := range []int{500, 1000, 2000} {
		bytes, ns, err := l.cost(func() error {
			for range n {
				if err := do(ctx, l); err != nil {
					return err
				}
			}
			return nil
		})
		if err != nil {
			return nil, err
		}
		wireBytes.Points = append(wireBytes.Points, Point{float64(n), bytes})
		processorNanos.Points = append(processorNanos.Points, Point{float64(n), ns})
	}
	wireBytes.Line, processorNanos.Line = Fit(wireBytes.Points), Fit(processorNanos.Points)
	return []Quantity{wireBytes, processorNanos}, nil
}

// heldReport returns the report of a sidecar that holds n batch attempts.
func heldReport(n int) *peerv1.ReportResponse {
	r := &peerv1.ReportResponse{
		Incarnation: identifier(0), Service: modelService, Instance: backendName(0), Zone: zone, Region: region,
		Load: &peerv1.Load{Slots: 32, StepUs: 30_000, ConfigVersion: 1 << 20},
	}
	for i := range n {
		r.Held = append(r.Held, &peerv1.Held{AttemptId: identifier(i), Job: "batch_" + identifier(i)})
	}
	return r
}

func instanceList(n int) logservice.InstanceList {
	rows := make([]logservice.Instance, n)
	for i := range rows {
		rows[i] = logservice.Instance{
			Name: backendName(i), Role: string(settings.RoleSidecar), Service: modelService, Region: region, Zone: zone,
			PeerAddr: fmt.Sprintf("10.0.%d.%d:9000", i/256, i%256), State: logservice.Live,
		}
	}
	return logservice.InstanceList{Instances: rows}
}

func measureInstanceList(context.Context) ([]Quantity, error) {
	sizes := []int{100, 1000, 11_200}
	return measureAll(
		measurement{Quantity{ID: "list.bytes", Help: "the platform's list of instances", Unit: Bytes, Per: "instance"},
			sizes, func(n int) (float64, error) {
				b, err := json.Marshal(instanceList(n))
				return float64(len(b)), err
			}},
		measurement{Quantity{ID: "list.row", Help: "memory of the decoded list", Unit: Bytes, Per: "instance"},
			sizes, func(n int) (float64, error) {
				return retainedHeap(func() (logservice.InstanceList, error) {
					var out logservice.InstanceList
					b, err := json.Marshal(instanceList(n))
					if err != nil {
						return out, err
					}
					return out, json.Unmarshal(b, &out)
				})
			}},
		measurement{Quantity{ID: "list.decode", Help: "decode the list", Unit: Nanoseconds, Per: "instance"},
			sizes, func(n int) (float64, error) {
				b, err := json.Marshal(instanceList(n))
				if err != nil {
					return 0, err
				}
				var out logservice.InstanceList
				return nanosPerCall(func() { out = logservice.InstanceList{}; err = json.Unmarshal(b, &out) }), err
			}},
	)
}
