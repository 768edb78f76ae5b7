package view

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/world/contract"
)

const routeBody = "class = \"urgent\"\ncollection = \"lessons\"\ndeadline = \"400ms\"\nmin_coverage = 0.5\n"

func settingObject(at int, version int64, body string) Object {
	path := fmt.Sprintf("teams/team-%04d/routes/route-%03d", at/20, at%20)
	text, _ := contract.Revision{
		Path: path, Body: body, Previous: "632d378e82a0c1d8632d378e82a0c1d8632d378e82a0c1d8632d378e82a0c1d8",
		ChangeID: "01a24086-d41d-78b8-8bef-1d890f5ff2c9", Author: "liga", Reason: "more time on Saturdays",
	}.Encode()
	return Object{Key: path, Version: version, Value: text}
}

func serverObject(at int, version int64) Object {
	name := fmt.Sprintf("svc%04d-%05d", at/30, at)
	return Object{
		Key: PrefixServers + name, Version: version,
		Value: fmt.Sprintf(`{"name":%q,"service":"svc%04d","zone":"riga-1","address":"10.20.30.40:8100","slots":2,"connection_limit":25}`, name, at/30),
	}
}

func heap() int64 {
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return int64(ms.HeapAlloc)
}

// fill applies count objects and returns the view with its memory.
func fill(b *testing.B, count int, object func(at int, version int64) Object) (View, int64) {
	b.Helper()
	before := heap()
	vw := View{}
	for at := range count {
		next, err := vw.Apply(object(at, int64(at+1)))
		if err != nil {
			b.Fatal(err)
		}
		vw = next
	}
	return vw, heap() - before
}

func BenchmarkApplySetting(b *testing.B) {
	for _, count := range []int{100, 1000, 10000, 100000} {
		b.Run(fmt.Sprintf("paths=%d", count), func(b *testing.B) {
			vw, state := fill(b, count, func(at int, version int64) Object { return settingObject(at, version, routeBody) })
			version := int64(count)
			for b.Loop() {
				version++
				next, err := vw.Apply(settingObject(int(version)%count, version, routeBody))
				if err != nil {
					b.Fatal(err)
				}
				vw = next
			}
			b.ReportMetric(float64(state)/float64(count), "state-B/path")
		})
	}
}

func BenchmarkApplyServer(b *testing.B) {
	for _, count := range []int{30, 900, 9000, 81000} {
		b.Run(fmt.Sprintf("servers=%d", count), func(b *testing.B) {
			vw, state := fill(b, count, serverObject)
			version := int64(count)
			for b.Loop() {
				version++
				next, err := vw.Apply(serverObject(int(version)%count, version))
				if err != nil {
					b.Fatal(err)
				}
				vw = next
			}
			b.ReportMetric(float64(state)/float64(count), "state-B/server")
		})
	}
}

func BenchmarkGet(b *testing.B) {
	vw, _ := fill(b, 81000, serverObject)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := vw.Servers.Get("svc1000-30000"); !ok {
			b.Fatal("no server")
		}
	}
}

// BenchmarkListServers takes in a list of servers at once, and one by one as
// changes come.
func BenchmarkListServers(b *testing.B) {
	for _, count := range []int{100, 700, 5000} {
		objects := make([]Object, count)
		for at := range count {
			objects[at] = serverObject(at, int64(at+1))
			objects[at].Key = PrefixMembers + fmt.Sprintf("svc%04d-%05d", at/30, at)
		}
		b.Run(fmt.Sprintf("at once, servers=%d", count), func(b *testing.B) {
			for b.Loop() {
				fl, refused := Fleet{}.Apply(time.Now(), 0, plainCodec{}, objects)
				assert.Equal(b, len(refused)+len(fl.Servers), count)
			}
		})
		if count > 700 {
			continue
		}
		b.Run(fmt.Sprintf("one by one, servers=%d", count), func(b *testing.B) {
			for b.Loop() {
				fl := Fleet{}
				for at := range objects {
					fl, _ = fl.Apply(time.Now(), 0, plainCodec{}, objects[at:at+1])
				}
				assert.Equal(b, len(fl.Servers), count)
			}
		})
	}
}
