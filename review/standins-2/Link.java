package standins2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A TCP connection from one process to another that can be cut: open connections are reset, new ones refused. */
public final class Link {
    private final int port;
    private final int target;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private ServerSocket server;

    /** Forwards connections to [port] to [target]. */
    public Link(int port, int target) {
        this.port = port;
        this.target = target;
    }

    public synchronized void open() throws IOException {
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port));
        ServerSocket opened = server;
        daemon(() -> acceptFrom(opened));
    }

    public synchronized void cut() throws IOException {
        server.close();
        for (Socket socket : sockets) reset(socket);
        sockets.clear();
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }

    private void acceptFrom(ServerSocket opened) {
        while (!opened.isClosed()) {
            try {
                Socket client = opened.accept();
                sockets.add(client);
                Socket behind = new Socket();
                try {
                    behind.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), target), 1000);
                } catch (IOException e) {
                    reset(client);
                    continue;
                }
                sockets.add(behind);
                daemon(() -> copy(client, behind));
                daemon(() -> copy(behind, client));
            } catch (IOException e) {
                // The link was cut.
            }
        }
    }

    private static void copy(Socket from, Socket to) {
        byte[] buffer = new byte[8192];
        try (InputStream in = from.getInputStream(); OutputStream out = to.getOutputStream()) {
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                out.write(buffer, 0, count);
                out.flush();
            }
        } catch (IOException e) {
            // The connection has ended.
        }
        reset(from);
        reset(to);
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "link");
        thread.setDaemon(true);
        thread.start();
    }
}
