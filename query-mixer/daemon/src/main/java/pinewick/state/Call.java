package pinewick.state;

import java.util.ArrayList;
import java.util.List;

/** Launches that travel in one frame, and whether that has been written. */
public final class Call {
    /** WAITING: no byte written; BEGUN: some; WRITTEN: the last one too. */
    public enum Stage {
        WAITING,
        BEGUN,
        WRITTEN
    }

    public final List<LiveLaunch> launches = new ArrayList<>();
    public final Carrier link;
    public Stage stage = Stage.WAITING;
    /** How many of its launches are not over. */
    public int out;

    public double writtenAt;

    public Call(Carrier link, List<LiveLaunch> launches) {
        this.link = link;
        this.launches.addAll(launches);
        this.out = launches.size();
        launches.forEach(each -> each.call = this);
    }
}
