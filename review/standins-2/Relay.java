package review2;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process of the role relay, started with the command of the deploy file. */
final class Relay {

	final String name;

	final int frontPort;

	private final Site site;

	private final int readyPort;

	private final int linkPort;

	private final Path settings;

	private final Path log;

	private final String zone;

	private final boolean bootstrap;

	/** MemoryMb of the machine, in its settings. */
	int memoryMb = 300;

	private Process process;

	Relay(Site site, String name, String zone, boolean bootstrap) throws IOException {
		this.site = site;
		this.name = name;
		this.frontPort = Site.freePort();
		this.readyPort = Site.freePort();
		this.linkPort = Site.freePort();
		this.settings = site.folder.resolve(name + ".json");
		this.log = site.folder.resolve(name + ".log");
		this.zone = zone;
		this.bootstrap = bootstrap;
	}

	private void write(String zone, boolean bootstrap) throws IOException {
		Files.writeString(this.settings, """
				{"Node":"%s","Role":"relay","MachineClass":"front","Serves":["front"],"Ip":"127.0.0.1","Zone":"%s",
				"Region":"ro-sud-est","Zones":{"hala-constanta":"ro-sud-est","hala-tulcea":"ro-sud-est","hala-galati":"ro-sud-est","hala-braila":"ro-sud-est"},
				"Listen":{"Front":"127.0.0.1:%d","ReadyAddr":"127.0.0.1:%d"},"PortRange":[%d,%d],"Seeds":[],
				"Bootstrap":%s,"InTolerance":false,
				"Limits":{"CpuShare":0.75,"Cores":2,"MemoryMb":%d,"MaxFds":8200,"LinkMbps":1000.0,"DiskMb":0},
				"DataDir":null,"Discovery":"platform","Entry":"vip","HeartbeatMs":1200,
				"Contracts":["base","drain","config","cost","recover","agent","stream","engine","platform"],
				"FaultTolerance":{"Machines":1,"Zones":0,"Regions":0},
				"Bounds":{"SeedLagS":3,"ReuseAfterS":2,"StableMs":3000,"AckMs":4000,"CatchupS":4.5,"DrainMs":2000,"GraceS":8,"LossSlackMs":200,"ConfigApplyMs":2000,"RollbackSlackMs":250,"MaxSkewMs":5000,"RecoveryS":12,"PassMs":120,"AgainS":0,"DeadlineS":10,"SettleMs":1000},
				"Platform":{"Address":"127.0.0.1:%d","form":"log","WritesPerS":800,"ReadsPerS":2000,"parts":24,"AppendMs":1.0,"PartMbPerS":20.0,"ReadMbPerS":80.0,"RecordBytes":%d,"CallBytes":%d,"RetentionS":%d,"PartMb":200,"TtlMinMs":1000}}
				"""
			.formatted(this.name, zone, this.frontPort, this.readyPort, this.linkPort, this.linkPort, bootstrap,
					this.memoryMb, this.site.store.port(), Store.RECORD_BYTES, Store.CALL_BYTES, this.site.store.retentionSeconds()));
	}

	/** Starts the process; from the second time on as one of a system that has run before. */
	void start() throws IOException {
		write(this.zone, this.bootstrap && this.process == null);
		List<String> command = List.of(Site.command().split(" "));
		ProcessBuilder builder = new ProcessBuilder(command).directory(this.site.repository.toFile())
			.redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(this.log.toFile()));
		builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		builder.environment().put("LENTILSLIP_SETTINGS", this.settings.toString());
		this.process = builder.start();
		this.site.record.add("process  " + this.name + " started");
	}

	/** Waits until the relay answers the platform's question whether it is ready. */
	void awaitReady() {
		for (int i = 0; i < 200; i++) {
			if (ready()) {
				this.site.record.add("process  " + this.name + " is ready");
				return;
			}
			Site.sleep(100);
		}
		throw new IllegalStateException(this.name + " was not ready in 20 s");
	}

	boolean ready() {
		try {
			HttpURLConnection connection = (HttpURLConnection) URI
				.create("http://127.0.0.1:" + this.readyPort + "/api/readyz")
				.toURL()
				.openConnection();
			connection.setConnectTimeout(500);
			connection.setReadTimeout(500);
			return connection.getResponseCode() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	long pid() {
		return this.process.pid();
	}

	boolean alive() {
		return this.process != null && this.process.isAlive();
	}

	/** Stops the process as the platform does: SIGTERM, and SIGKILL after GraceS. */
	void terminate() throws InterruptedException {
		this.site.record.add("process  SIGTERM to " + this.name);
		this.process.destroy();
		if (!this.process.waitFor(8, TimeUnit.SECONDS)) {
			this.process.destroyForcibly().waitFor();
		}
		this.site.record.add("process  " + this.name + " ended with " + this.process.exitValue());
	}

	void kill() throws InterruptedException {
		this.site.record.add("process  SIGKILL to " + this.name);
		this.process.destroyForcibly().waitFor();
	}

	void end() {
		if (this.process != null) {
			this.process.destroyForcibly();
		}
	}

	String log() throws IOException {
		return Files.readString(this.log);
	}

}
