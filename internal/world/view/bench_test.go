package view

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/world/contract"
)

const routeBody = "class = \"urgent\"\ncollection = \"lessons\"\ndeadline = \"400ms\"\nmin_coverage = 0.5\n"

func settingObject(index int, version int64, body string) Object {
	path := fmt.Sprintf("teams/team-%04d/routes/route-%03d", index/20, index%20)
	text, _ := contract.Revision{
		Path: path, Body: body, Previous: "632d378e82a0c1d8632d378e82a0c1d8632d378e82a0c1d8632d378e82a0c1d8",
		ChangeID: "01a24086-d41d-78b8-8bef-1d890f5ff2c9", Author: "liga", Reason: "more time on Saturdays",
	}.Encode()
	return Object{Key: path, Version: version, Value: text}
}

func serverObject(index int, version int64) Object {
	name := fmt.Sprintf("svc%04d-%05d", index/30, index)
	return Object{
		Key: PrefixServers + name, Version: version,
		Value: fmt.Sprintf(`{"name":%q,"service":"svc%04d","zone":"riga-1","address":"10.20.30.40:8100","slots":2,"connection_limit":25}`, name, index/30),
	}
}

// heapBytes returns the allocated heap after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return int64(ms.HeapAlloc)
}

// newFilledView returns a view with count objects and the heap that it uses, in
// bytes.
func newFilledView(b *testing.B, count int, object func(index int, version int64) Object) (View, int64) {
	b.Helper()
	before := heapBytes()
	vw := View{}
	for i := range count {
		next, err := vw.Apply(object(i, int64(i+1)))
		if err != nil {
			b.Fatal(err)
		}
		vw = next
	}
	return vw, heapBytes() - before
}

func BenchmarkApplySetting(b *testing.B) {
	for _, count := range []int{100, 1000, 10000, 100000} {
		b.Run(fmt.Sprintf("paths=%d", count), func(b *testing.B) {
			vw, heap := newFilledView(b, count, func(index int, version int64) Object { return settingObject(index, version, routeBody) })
			version := int64(count)
			for b.Loop() {
				version++
				next, err := vw.Apply(settingObject(int(version)%count, version, routeBody))
				if err != nil {
					b.Fatal(err)
				}
				vw = next
			}
			b.ReportMetric(float64(heap)/float64(count), "state-B/path")
		})
	}
}

func BenchmarkApplyServer(b *testing.B) {
	for _, count := range []int{30, 900, 9000, 81000} {
		b.Run(fmt.Sprintf("servers=%d", count), func(b *testing.B) {
			vw, heap := newFilledView(b, count, serverObject)
			version := int64(count)
			for b.Loop() {
				version++
				next, err := vw.Apply(serverObject(int(version)%count, version))
				if err != nil {
					b.Fatal(err)
				}
				vw = next
			}
			b.ReportMetric(float64(heap)/float64(count), "state-B/server")
		})
	}
}

func BenchmarkGet(b *testing.B) {
	vw, _ := newFilledView(b, 81000, serverObject)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := vw.Servers.Get("svc1000-30000"); !ok {
			b.Fatal("no server")
		}
	}
}

// BenchmarkListServers applies a list of servers in one batch, as after a listing,
// and one by one, as with a watch.
func BenchmarkListServers(b *testing.B) {
	for _, count := range []int{100, 700, 5000} {
		objects := make([]Object, count)
		for i := range count {
			objects[i] = serverObject(i, int64(i+1))
			objects[i].Key = PrefixFleetServers + fmt.Sprintf("svc%04d-%05d", i/30, i)
		}
		b.Run(fmt.Sprintf("at once, servers=%d", count), func(b *testing.B) {
			for b.Loop() {
				fl, refused := Fleet{}.Apply(time.Now(), Origin{}, 0, plainCodec{}, objects)
				assert.Equal(b, len(refused)+len(fl.Servers), count)
			}
		})
		if count > 700 {
			continue
		}
		b.Run(fmt.Sprintf("one by one, servers=%d", count), func(b *testing.B) {
			for b.Loop() {
				fl := Fleet{}
				for i := range objects {
					fl, _ = fl.Apply(time.Now(), Origin{}, 0, plainCodec{}, objects[i:i+1])
				}
				assert.Equal(b, len(fl.Servers), count)
			}
		})
	}
}

// BenchmarkEvacuate evacuates one of three zones and takes it back.
func BenchmarkEvacuate(b *testing.B) {
	for _, count := range []int{170, 81000} {
		b.Run(fmt.Sprintf("servers=%d", count), func(b *testing.B) {
			objects := make([]Object, count)
			for i := range objects {
				objects[i] = serverObject(i, int64(i+1))
				objects[i].Key = PrefixFleetServers + fmt.Sprintf("svc%04d-%05d", i/30, i)
				objects[i].Value = strings.Replace(objects[i].Value, "riga-1", fmt.Sprintf("riga-%d", i%3), 1)
			}
			fl, _ := Fleet{}.Apply(time.Now(), Origin{}, 0, plainCodec{}, objects)
			version := int64(count)
			for b.Loop() {
				version++
				fl, _ = fl.Apply(time.Now(), Origin{}, 0, plainCodec{}, []Object{evacuation("riga-1", version, version%2 == 0)})
			}
		})
	}
}
